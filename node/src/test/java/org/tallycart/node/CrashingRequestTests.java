package org.tallycart.node;

import java.util.List;
import java.util.stream.IntStream;

import org.tallycart.platform.standin.UpstreamStandin;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests for requests that crash every upstream that runs them.
 * <p>
 * Guards against one request that crashes upstream after upstream, since it is repeated
 * under new ids and at all VMs: VMs must recognize it by its fingerprint and quarantine
 * it.
 */
public class CrashingRequestTests extends AbstractNodeTests {

	/** Number of upstreams that may crash before a request is quarantined. */
	private static final int CRASHES_BEFORE_QUARANTINE = 3;

	/** Number of sends that may be in flight at that time. */
	private static final int SENDS_IN_FLIGHT = 3;

	private static final int MORE_ENGINES = 12;

	private static final int COPIES = 8;

	/** Pause between two copies, in milliseconds. */
	private static final int PAUSE_MS = 600;

	private static final String RECORDS = "tallycart-quarantine";

	private static final String CRASHING = "/stream/crash";

	@Override
	int vms() {
		return 3;
	}

	@BeforeMethod(dependsOnMethods = "begin")
	void addEngines() {
		IntStream.range(0, MORE_ENGINES).forEach((i) -> addUpstream("engine", "i-engine-more" + i));
		String count = "\nupstreams " + (6.0 + MORE_ENGINES);
		this.nodes.forEach((node) -> await(() -> metrics(node).contains(count)));
		this.upstreams.values().forEach((upstream) -> upstream.crashOn("crash", () -> {
		}));
	}

	private Node node(int number) {
		return this.nodes.get(number % this.nodes.size());
	}

	private long crashed() {
		return this.upstreams.values().stream().filter(UpstreamStandin::isCrashed).count();
	}

	// Each copy has a new id and goes to another VM.
	private void sendCopies(String path, int copies) {
		for (int i = 0; i < copies; i++) {
			request(node(i), path, "copy" + i, path.startsWith("/stream") ? GENERATION : KEY);
			pause(PAUSE_MS);
		}
	}

	/** One request is repeated at every VM and crashes the upstreams that run it. */
	@Test
	void aRequestThatCrashesUpstreamsIsQuarantinedAtAllVms() {
		sendCopies(CRASHING, COPIES);
		long crashed = crashed();
		assertTrue(crashed >= CRASHES_BEFORE_QUARANTINE, crashed + " ended");
		assertTrue(crashed <= CRASHES_BEFORE_QUARANTINE + SENDS_IN_FLIGHT, crashed + " ended");
		for (Node node : this.nodes) {
			String response = request(node, CRASHING, "last", GENERATION);
			assertTrue(response.startsWith("HTTP/1.1 503"), response);
			assertTrue(response.contains("Retry-After"), response);
		}
		assertEquals(crashed(), crashed);
	}

	/** Other requests at the same upstreams are interrupted, and repeated. */
	@Test
	void requestsThatOnlySharedAnUpstreamWithItAreServedWhenRepeated() throws InterruptedException {
		this.upstreams.values().forEach((upstream) -> upstream.setWorkMs(100));
		List<Thread> others = IntStream.range(0, COPIES * 4)
			.mapToObj((i) -> new Thread(() -> sendOtherRequests(i)))
			.toList();
		others.forEach(Thread::start);
		sendCopies(CRASHING, COPIES);
		for (Thread other : others) {
			other.join(WAIT_MS);
		}
		assertTrue(crashed() <= CRASHES_BEFORE_QUARANTINE + SENDS_IN_FLIGHT, crashed() + " ended");
		for (int i = 0; i < others.size(); i++) {
			String response = request(node(i), "/stream/beside" + i, "again" + i, GENERATION);
			assertTrue(response.startsWith("HTTP/1.1 200") && response.endsWith("0\r\n\r\n"), response);
		}
	}

	private void sendOtherRequests(int number) {
		for (int i = 0; i < 20; i++) {
			request(node(number + i), "/stream/beside" + number, "beside" + number + "-" + i, GENERATION);
			pause(PAUSE_MS / 10);
		}
	}

	/** A VM starts after the request has been quarantined. */
	@Test
	void aVmThatStartsLaterQuarantinesItToo() {
		sendCopies(CRASHING, COPIES / 2);
		long crashed = crashed();
		assertTrue(crashed <= CRASHES_BEFORE_QUARANTINE + SENDS_IN_FLIGHT, crashed + " ended");
		Node late = Node.start(settings("vm-late"), 0).get();
		this.nodes.add(late);
		await(() -> ready(late));
		await(() -> request(late, CRASHING, "late", GENERATION).startsWith("HTTP/1.1 503"));
		assertTrue(crashed() <= CRASHES_BEFORE_QUARANTINE + SENDS_IN_FLIGHT, crashed() + " ended");
	}

	/**
	 * The request's stage work crashes the workers of a pool, in calls that also contain
	 * pieces of other requests.
	 */
	@Test
	void aRequestWhosePiecesCrashTheirWorkersIsQuarantinedToo() {
		IntStream.range(0, MORE_ENGINES).forEach((i) -> addUpstream("pool", "i-pool-more" + i));
		String count = "\nupstreams " + (6.0 + 2 * MORE_ENGINES);
		this.nodes.forEach((node) -> await(() -> metrics(node).contains(count)));
		this.upstreams.values().forEach((upstream) -> upstream.crashOn("crash", () -> {
		}));
		String pieces = GENERATION + "X-Tallycart-Pieces: 2,1\r\nX-Tallycart-Piece-Key: ";
		for (int i = 0; i < COPIES; i++) {
			request(node(i), "/stream/bad", "copy" + i, pieces + "crash\r\n");
			pause(PAUSE_MS);
		}
		assertTrue(crashed() >= CRASHES_BEFORE_QUARANTINE, crashed() + " ended");
		assertTrue(crashed() <= CRASHES_BEFORE_QUARANTINE + SENDS_IN_FLIGHT, crashed() + " ended");
		for (int i = 0; i < vms(); i++) {
			assertTrue(request(node(i), "/stream/bad", "last" + i, pieces + "crash\r\n").startsWith("HTTP/1.1 503"));
			assertTrue(request(node(i), "/stream/good", "good" + i, pieces + "k\r\n").endsWith("0\r\n\r\n"));
		}
	}

	/** An operator lifts the quarantine after the upstreams have been fixed. */
	@Test
	void anOperatorLiftsTheQuarantineByRemovingTheRecord() {
		sendCopies(CRASHING, COPIES / 2);
		await(() -> this.store.names(RECORDS).size() == 1);
		this.nodes.forEach((node) -> await(() -> metrics(node).contains("\nquarantine_requests 1.0")));
		this.upstreams.values().forEach((upstream) -> upstream.crashOn("no request", () -> {
		}));
		this.store.remove(RECORDS, this.store.names(RECORDS).get(0));
		this.nodes.forEach((node) -> await(() -> metrics(node).contains("\nquarantine_requests 0.0")));
		assertTrue(request(node(0), CRASHING, "mended", GENERATION).endsWith("0\r\n\r\n"));
	}

	/** The platform's store is down during the whole test. */
	@Test
	void itIsKnownAtAllVmsWhileTheStoreIsAway() {
		this.store.setDown(true);
		sendCopies(CRASHING, COPIES);
		assertTrue(crashed() <= CRASHES_BEFORE_QUARANTINE + SENDS_IN_FLIGHT, crashed() + " ended");
	}

}
