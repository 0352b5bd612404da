package org.tallycart.node;

import java.util.List;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests for evacuations and invalid upstream entries in the platform's store, and their
 * effect on requests and pieces at every VM.
 */
public class EvacuationAndInvalidEntryTests extends AbstractNodeTests {

	private static final String STAGED = GENERATION + "X-Tallycart-Pieces: 3,4\r\nX-Tallycart-Piece-Key: k\r\n";

	@Override
	int vms() {
		return 3;
	}

	@BeforeMethod(dependsOnMethods = "begin")
	void addOtherDomain() {
		for (String service : List.of("plain", "engine", "pool")) {
			addUpstream(service, "i-" + service + "-far", "far");
		}
		awaitMetricAtAll("\nupstreams 9.0");
	}

	private void awaitMetricAtAll(String line) {
		this.nodes.forEach((node) -> await(() -> metrics(node).contains(line)));
	}

	// Returns the number of requests and batches that ran in the other failure domain.
	private int callAll(String prefix) {
		int before = countRunsInOtherDomain();
		for (Node node : this.nodes) {
			for (int i = 0; i < 6; i++) {
				String id = prefix + this.nodes.indexOf(node) + i;
				assertTrue(request(node, "/plain/x", "p" + id, KEY).startsWith("HTTP/1.1 200"), id);
				assertTrue(request(node, "/stream/x", "s" + id, STAGED).endsWith("0\r\n\r\n"), id);
			}
		}
		return countRunsInOtherDomain() - before;
	}

	private int countRunsInOtherDomain() {
		return this.upstreams.entrySet()
			.stream()
			.filter((each) -> each.getKey().endsWith("-far"))
			.mapToInt((each) -> each.getValue().runCounts().size() + each.getValue().batchSizes().size())
			.sum();
	}

	/** A failure domain is evacuated and restored under constant load. */
	@Test
	void anEvacuatedFailureDomainGetsNoRequestOrPieceUntilItIsRestored() {
		assertTrue(callAll("a") > 0);
		this.store.put("evacuations", "far", "{}");
		awaitMetricAtAll("\nevacuated_domains 1.0");
		assertEquals(callAll("b"), 0);
		this.store.remove("evacuations", "far");
		awaitMetricAtAll("\nevacuated_domains 0.0");
		assertTrue(callAll("c") > 0);
	}

	@Test
	void aVmThatStartsDuringAnEvacuationSendsNothingToTheDomain() {
		this.store.put("evacuations", "far", "{}");
		awaitMetricAtAll("\nevacuated_domains 1.0");
		Node late = Node.start(settings("vm-late"), 0).get();
		this.nodes.add(late);
		await(() -> ready(late));
		assertEquals(callAll("d"), 0);
	}

	@DataProvider
	static Object[][] invalidEntries() {
		return new Object[][] { { "\"slots\":4", "\"slots\":\"many\"", "slots" }, { "\"ready\"", "\"happy\"", "state" },
				{ "\"zone\":\"far\"", "\"zone\":null", "failure_domain" } };
	}

	/** An entry of a list that is in use becomes invalid. */
	@Test(dataProvider = "invalidEntries")
	void anEntryThatBecomesInvalidRemovesOnlyItsUpstream(String valid, String invalid, String reason) {
		String entry = this.upstreams.get("i-plain-far").entry("plain", "far", "ready");
		this.store.put("servers", "i-plain-far", entry.replace(valid, invalid));
		awaitMetricAtAll("\nupstreams 8.0");
		this.nodes.forEach((node) -> assertTrue(metrics(node).contains("upstreams_unreadable_" + reason + " 1.0")));
		int before = this.upstreams.get("i-plain-far").runCounts().size();
		callAll("e");
		assertEquals(this.upstreams.get("i-plain-far").runCounts().size(), before);
		this.store.put("servers", "i-plain-far", entry);
		awaitMetricAtAll("\nupstreams 9.0");
	}

	/**
	 * A list with an invalid entry is read again, since the store has dropped its
	 * history.
	 */
	@Test
	void anInvalidEntryOfAListIsIgnored() {
		this.store.put("servers", "i-bad", "\"no object\"");
		this.store.forgetHistory();
		awaitMetricAtAll("\nupstreams_unreadable_no_fields 1.0");
		awaitMetricAtAll("\nupstreams 9.0");
		assertFalse(metrics(this.nodes.get(0)).contains("\nupstreams 10.0"));
	}

}
