package org.tallycart.node;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.tallycart.platform.standin.UpstreamStandin;
import org.tallycart.platform.standin.UpstreamStandin.Fault;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests for streams while engines of several software versions serve side by side, on
 * real sockets.
 */
public class SoftwareVersionTests extends AbstractNodeTests {

	private static final int STREAMS = 12;

	private static final int ENGINES_PER_VERSION = 3;

	private static final List<String> VERSIONS = List.of("v1", "v2");

	/** Time after which streams begin at a version that is new. */
	private static final long VERSION_SPREAD_MS = 2_500;

	private static final String LAST_CHUNK = "0\r\n\r\n";

	@Override
	int vms() {
		return 3;
	}

	// Begins once the VMs know each other, so that a lost one has told others of its
	// streams.
	private void startSecondVersion() {
		this.nodes.forEach((node) -> await(() -> metrics(node).contains("\nvms_live " + (double) (vms() - 1))));
		for (String id : List.of("i-engine0", "i-engine1")) {
			this.store.remove("servers", id);
			this.upstreams.remove(id);
		}
		for (int i = 0; i < ENGINES_PER_VERSION * VERSIONS.size(); i++) {
			addEngine("i-engine-" + i, VERSIONS.get(i % VERSIONS.size()));
		}
		this.nodes
			.forEach((node) -> await(() -> metrics(node).contains("\nupstreams " + (double) this.upstreams.size())));
		pause(VERSION_SPREAD_MS);
	}

	private void addEngine(String id, String version) {
		UpstreamStandin engine = UpstreamStandin.start(id, this.group);
		engine.setSoftwareVersion(version);
		this.upstreams.put(id, engine);
		this.store.put("servers", id, engine.entry("engine", "d", "ready"));
	}

	private static String generation(int session) {
		return GENERATION.replace("bb:200", String.format("b%x:200,c%x:100", session, session));
	}

	private static String resumption(String begunBy, String lastEvent) {
		return "Resumes: " + begunBy + "\r\nLast-Event-Id: " + lastEvent + "\r\n";
	}

	// Returns the versions of the engines that sent events of a stream.
	private Set<String> versionsOf(String begunBy) {
		return this.upstreams.values()
			.stream()
			.filter((upstream) -> upstream.eventCount(begunBy) > 0)
			.map(UpstreamStandin::softwareVersion)
			.collect(Collectors.toSet());
	}

	// Returns the names of the engines that sent events of a stream.
	private Set<String> enginesOf(String begunBy) {
		return this.upstreams.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().eventCount(begunBy) > 0)
			.map(Map.Entry::getKey)
			.collect(Collectors.toSet());
	}

	private void assertOneVersionEach(List<String> streams) {
		Map<String, Set<String>> mixed = streams.stream()
			.filter((stream) -> versionsOf(stream).size() > 1)
			.collect(Collectors.toMap((stream) -> stream, this::versionsOf));
		assertEquals(mixed, Map.of());
	}

	// Begins streams that break after their second event, and returns their ids.
	private List<String> beginBrokenStreams(Node node) {
		setFault("engine", Fault.BREAK);
		List<String> streams = IntStream.range(0, STREAMS).mapToObj((i) -> "begun" + i).toList();
		for (int i = 0; i < STREAMS; i++) {
			assertTrue(request(node, "/fragile/x", streams.get(i), generation(i)).contains("id: 2"));
		}
		setFault("engine", Fault.NONE);
		return streams;
	}

	// Lists the engines anew under other ids, so that no stream finds its own engine.
	private void replaceEngines(Set<String> versions) {
		List<String> former = this.upstreams.keySet().stream().filter((id) -> id.startsWith("i-engine-")).toList();
		former.forEach((id) -> this.store.remove("servers", id));
		int next = 100;
		for (String version : versions) {
			for (int i = 0; i < ENGINES_PER_VERSION; i++) {
				addEngine("i-engine-" + next++, version);
			}
		}
		int listed = this.upstreams.size() - former.size();
		this.nodes.forEach((node) -> await(() -> metrics(node).contains("\nupstreams " + (double) listed)));
	}

	private long resume(Node node, List<String> streams) {
		return streams.stream()
			.filter((stream) -> request(node, "/fragile/x", "again-" + stream,
					generation(streams.indexOf(stream)) + resumption(stream, "2"))
				.endsWith(LAST_CHUNK))
			.count();
	}

	// Guards against a broken stream that goes on at an engine of another version within
	// one response.
	@Test
	void aStreamGoesOnAtTheVersionThatBeganItWithinOneResponse() {
		startSecondVersion();
		this.upstreams.values().forEach(UpstreamStandin::breakNewStreams);
		List<String> streams = IntStream.range(0, STREAMS).mapToObj((i) -> "r" + i).toList();
		for (int i = 0; i < STREAMS; i++) {
			request(this.nodes.get(0), "/stream/x", streams.get(i), generation(i));
		}
		assertOneVersionEach(streams);
		assertTrue(streams.stream().anyMatch((stream) -> enginesOf(stream).size() > 1), "some were resumed");
	}

	// Guards against a stream that goes on at an engine of another version when its
	// caller resumes it at another VM.
	@Test
	void aStreamThatItsCallerResumesAtAnotherVmGoesOnAtTheVersionThatBeganIt() {
		startSecondVersion();
		List<String> streams = beginBrokenStreams(this.nodes.get(0));
		replaceEngines(Set.copyOf(VERSIONS));
		assertEquals(resume(this.nodes.get(1), streams), STREAMS);
		assertOneVersionEach(streams);
	}

	// Guards against the version of a stream being known only at the VM that began it.
	@Test
	void aStreamGoesOnAtItsVersionAfterTheLossOfTheVmThatBeganIt() {
		startSecondVersion();
		List<String> streams = beginBrokenStreams(this.nodes.get(0));
		this.nodes.remove(0).close();
		replaceEngines(Set.copyOf(VERSIONS));
		assertEquals(resume(this.nodes.get(0), streams), STREAMS);
		assertOneVersionEach(streams);
	}

	// Guards against a stream that goes on at another version since its own is gone, and
	// against a caller that is kept waiting then.
	@Test
	void aStreamWhoseVersionIsGoneIsRejected() {
		startSecondVersion();
		List<String> streams = beginBrokenStreams(this.nodes.get(0));
		replaceEngines(Set.of("v3"));
		for (Node node : this.nodes) {
			for (int i = 0; i < STREAMS; i++) {
				String response = request(node, "/fragile/x", "again", generation(i) + resumption(streams.get(i), "2"));
				assertTrue(response.startsWith("HTTP/1.1 503"), response);
				assertTrue(response.contains("Retry-After"), response);
			}
		}
		assertOneVersionEach(streams);
	}

	// Guards against a guess at the version of a stream that no VM knows.
	@Test
	void aStreamOfAnUnknownVersionIsRejectedWhileSeveralVersionsServe() {
		startSecondVersion();
		for (Node node : this.nodes) {
			String response = request(node, "/fragile/x", "again", generation(0) + resumption("never-begun", "2"));
			assertTrue(response.startsWith("HTTP/1.1 503"), response);
		}
		assertEquals(runs("again"), 0);
	}

	// The versions that serve after the loss, and whether the others leave before it.
	@DataProvider
	static Object[][] versionsAfterALoss() {
		return new Object[][] { { Set.of("v1", "v2"), true }, { Set.of("v2"), true }, { Set.of("v2"), false },
				{ Set.of("v1"), true }, { Set.of("v1"), false } };
	}

	// Guards against streams that are joined from two versions, since the VMs that knew
	// where they began were all lost in a release.
	@Test(dataProvider = "versionsAfterALoss")
	void noStreamGoesOnAtAnotherVersionAfterTheLossOfAllVms(Set<String> versions, boolean leaveBefore) {
		startSecondVersion();
		List<String> streams = beginBrokenStreams(this.nodes.get(0));
		if (leaveBefore) {
			replaceEngines(versions);
		}
		stopVms();
		if (!leaveBefore) {
			replaceEngines(versions);
		}
		for (int i = 0; i < vms(); i++) {
			this.nodes.add(Node.start(settings("vm-" + i), 0).get());
		}
		for (Node node : this.nodes) {
			resume(node, streams);
			await(() -> ready(node));
			resume(node, streams);
		}
		assertOneVersionEach(streams);
	}

	// Guards against streams of healthy fleets being lost with all VMs, which are back
	// at once.
	@Test
	void aStreamGoesOnAfterTheLossOfAllVmsWhileOneVersionServes() {
		List<String> streams = beginBrokenStreams(this.nodes.get(0));
		await(() -> this.store.names("tallycart-software").contains("engine"));
		restartVms();
		for (Node node : this.nodes) {
			assertEquals(resume(node, streams), STREAMS);
		}
	}

	// Guards against prompt memory that one version wrote being copied to another.
	@Test
	void promptsAreCopiedWithinOneVersionOnly() {
		startSecondVersion();
		for (int i = 0; i < 4 * STREAMS; i++) {
			request(this.nodes.get(i % vms()), "/fragile/x", "r" + i, generation(i).replace("aa:500", "aa:800"));
		}
		for (UpstreamStandin engine : this.upstreams.values()) {
			for (String source : engine.fetchSources()) {
				assertEquals(versionAt(source), engine.softwareVersion());
			}
		}
		assertTrue(this.upstreams.values().stream().anyMatch((engine) -> !engine.fetchSources().isEmpty()),
				"some were copied");
	}

	private String versionAt(String address) {
		return this.upstreams.values()
			.stream()
			.filter((upstream) -> upstream.address().toString().equals(address))
			.map(UpstreamStandin::softwareVersion)
			.findFirst()
			.orElseThrow();
	}

}
