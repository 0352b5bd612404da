package org.tallycart.node;

import java.util.List;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests for what operators order, and what others write, in the platform's store: what it
 * means for requests and pieces at every VM.
 */
public class EvacuationAndInvalidEntryTests extends AbstractNodeTests {

	private static final String STAGES = GENERATION + "X-Tallycart-Pieces: 3,4\r\nX-Tallycart-Piece-Key: k\r\n";

	@Override
	int vms() {
		return 3;
	}

	@BeforeMethod(dependsOnMethods = "begin")
	void addOtherDomain() {
		for (String service : List.of("plain", "engine", "pool")) {
			addUpstream(service, "i-" + service + "-far", "far");
		}
		awaitOnAll("\nupstreams 9.0");
	}

	private void awaitOnAll(String line) {
		this.nodes.forEach((node) -> await(() -> metrics(node).contains(line)));
	}

	// Returns how much ran in the other failure domain.
	private int callAll(String prefix) {
		int before = ranFar();
		for (Node node : this.nodes) {
			for (int i = 0; i < 6; i++) {
				String id = prefix + this.nodes.indexOf(node) + i;
				assertTrue(request(node, "/plain/x", "p" + id, KEY).startsWith("HTTP/1.1 200"), id);
				assertTrue(request(node, "/stream/x", "s" + id, STAGES).endsWith("0\r\n\r\n"), id);
			}
		}
		return ranFar() - before;
	}

	private int ranFar() {
		return this.upstreams.entrySet()
			.stream()
			.filter((each) -> each.getKey().endsWith("-far"))
			.mapToInt((each) -> each.getValue().allRuns().size() + each.getValue().batches().size())
			.sum();
	}

	/** Pattern: a failure domain is emptied and taken back under steady load. */
	@Test
	void anEvacuatedFailureDomainGetsNoRequestAndNoPieceFromAnyVmUntilItIsTakenBack() {
		assertTrue(callAll("a") > 0);
		this.store.put("evacuations", "far", "{}");
		awaitOnAll("\nevacuated_domains 1.0");
		assertEquals(callAll("b"), 0);
		this.store.remove("evacuations", "far");
		awaitOnAll("\nevacuated_domains 0.0");
		assertTrue(callAll("c") > 0);
	}

	@Test
	void aVmThatStartsDuringAnEvacuationSendsNothingThere() {
		this.store.put("evacuations", "far", "{}");
		awaitOnAll("\nevacuated_domains 1.0");
		Node late = Node.start(settings("vm-late"), 0).get();
		this.nodes.add(late);
		await(() -> ready(late));
		assertEquals(callAll("d"), 0);
	}

	@DataProvider
	static Object[][] badEntries() {
		return new Object[][] { { "\"slots\":4", "\"slots\":\"many\"", "slots" }, { "\"ready\"", "\"happy\"", "state" },
				{ "\"zone\":\"far\"", "\"zone\":null", "failure_domain" } };
	}

	/** Pattern: another writer spoils one entry of a list that is in use. */
	@Test(dataProvider = "badEntries")
	void anEntryThatTurnsBadNamesNoUpstreamAndTheOthersHold(String good, String bad, String reason) {
		String entry = this.upstreams.get("i-plain-far").entry("plain", "far", "ready");
		this.store.put("servers", "i-plain-far", entry.replace(good, bad));
		awaitOnAll("\nupstreams 8.0");
		this.nodes.forEach((node) -> assertTrue(metrics(node).contains("upstreams_unreadable_" + reason + " 1.0")));
		int before = this.upstreams.get("i-plain-far").allRuns().size();
		callAll("e");
		assertEquals(this.upstreams.get("i-plain-far").allRuns().size(), before);
		this.store.put("servers", "i-plain-far", entry);
		awaitOnAll("\nupstreams 9.0");
	}

	/**
	 * Pattern: a list that was spoilt is read whole after the store's history has gone.
	 */
	@Test
	void aBadEntryOfAWholeListIsLeftOut() {
		this.store.put("servers", "i-bad", "\"no object\"");
		this.store.forgetHistory();
		awaitOnAll("\nupstreams_unreadable_no_fields 1.0");
		awaitOnAll("\nupstreams 9.0");
		assertFalse(metrics(this.nodes.get(0)).contains("\nupstreams 10.0"));
	}

}
