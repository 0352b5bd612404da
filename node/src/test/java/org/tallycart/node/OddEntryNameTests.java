package org.tallycart.node;

import java.util.List;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests with entries of another writer in the list of upstreams, which is longer than a
 * page, under names that have to be escaped in a target.
 */
public class OddEntryNameTests extends AbstractNodeTests {

	private static final int CALLS = 10;

	private static final int MAX_LISTS = 20;

	@Override
	int vms() {
		return 2;
	}

	@DataProvider
	static Object[][] names() {
		return new Object[][] { { List.of("i-plain0&x") }, { List.of("i-plain0&after=a") }, { List.of("i-plain0+x") },
				{ List.of("i-plain0#x") }, { List.of("i-plain0%x") }, { List.of("i-plain0 x") },
				{ List.of("i-plain0&1", "i-plain0&2", "i-plain0&3", "i-plain0&4", "i-plain0&5", "i-plain0&6") } };
	}

	// Guards against VMs that are not ready after a restart because their list of
	// upstreams does not end, and against requests to an upstream that does not exist.
	@Test(dataProvider = "names")
	void allVmsStartAndServeWithTheOtherEntries(List<String> odd) {
		this.store.setPageSize(4);
		this.store.continueAfterKnownNamesOnly(true);
		odd.forEach((name) -> addUpstream("plain", name));
		int listsBefore = this.store.listCount("servers");
		restartVms();
		for (Node node : this.nodes) {
			for (int i = 0; i < CALLS; i++) {
				String id = this.nodes.indexOf(node) + "-" + i;
				assertTrue(request(node, "/plain/x", "p" + id, KEY).startsWith("HTTP/1.1 200"), id);
				assertTrue(request(node, "/stream/x", "s" + id, GENERATION).startsWith("HTTP/1.1 200"), id);
			}
			assertTrue(metrics(node).contains("\nupstreams 6.0"), metrics(node));
		}
		assertEquals(this.store.malformedCalls(), 0);
		int lists = this.store.listCount("servers") - listsBefore;
		assertTrue(lists <= MAX_LISTS, lists + " lists");
		odd.forEach((name) -> assertEquals(this.upstreams.get(name).runCounts().size(), 0, name));
	}

	// Guards against VMs that use such an entry when a watch reports it.
	@Test(dataProvider = "names")
	void anEntryThatIsWrittenLaterNamesNoUpstream(List<String> odd) {
		odd.forEach((name) -> addUpstream("plain", name));
		for (Node node : this.nodes) {
			await(() -> metrics(node).contains("\nupstreams_unreadable_name " + odd.size() + ".0"));
			for (int i = 0; i < CALLS; i++) {
				assertTrue(request(node, "/plain/x", "p" + i, KEY).startsWith("HTTP/1.1 200"));
			}
		}
		odd.forEach((name) -> assertEquals(this.upstreams.get(name).runCounts().size(), 0, name));
		odd.forEach((name) -> this.store.remove("servers", name));
		addUpstream("plain", "i-plain2");
		this.nodes.forEach((node) -> await(() -> metrics(node).contains("\nupstreams 7.0")));
	}

}
