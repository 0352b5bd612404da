package org.tallycart.node;

import java.util.List;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests for following the store through one VM of a failure domain.
 */
public class StoreReplicationTests extends AbstractNodeTests {

	private static final String KIND = "config";

	@Override
	int vms() {
		return 4;
	}

	@BeforeMethod(dependsOnMethods = "begin")
	void settle() {
		await(() -> followers() == 1);
	}

	private long followers() {
		return this.nodes.stream().filter(StoreReplicationTests::follows).count();
	}

	private static boolean follows(Node node) {
		return metrics(node).contains("\nstore_following 1.0");
	}

	private void change(int version, String path) {
		this.store.put(KIND, "main", String.format(CONFIG, version).replace("/plain/", path));
	}

	private void awaitServed(String path) {
		this.nodes.forEach((node) -> await(() -> request(node, path + "x", "r1", KEY).startsWith("HTTP/1.1 200")));
	}

	@Test
	void oneVmReadsAChangeAndAllHaveIt() {
		int before = this.store.told(KIND);
		change(9, "/fresh/");
		awaitServed("/fresh/");
		assertEquals(this.store.told(KIND) - before, 1);
	}

	/**
	 * A VM that is told writes its record, and reads which VMs there are: nothing else.
	 */
	@Test
	void aVmThatStartsBesideOthersIsToldByThem() {
		Node late = Node.start(settings("vm-late"), 0).get();
		this.nodes.add(late);
		await(() -> ready(late));
		String page = metrics(late);
		assertTrue(page.contains("\nstore_calls_write 1.0"), page);
		assertFalse(page.contains("\nstore_calls_list "), page);
		assertFalse(page.contains("\nstore_calls_watch "), page);
	}

	@Test
	void changesGoOnWhenTheVmThatReadsThemIsLost() {
		Node reader = this.nodes.stream().filter(StoreReplicationTests::follows).findFirst().orElseThrow();
		reader.close();
		this.nodes.remove(reader);
		change(9, "/fresh/");
		awaitServed("/fresh/");
		await(() -> followers() == 1);
	}

	@Test
	void anUpstreamThatIsUnlistedGetsNothingFromAnyVm() {
		this.store.remove("servers", "i-plain0");
		this.nodes.forEach((node) -> await(() -> metrics(node).contains("\nupstreams 5.0")));
		int before = this.upstreams.get("i-plain0").allRuns().size();
		this.nodes.forEach((node) -> {
			for (int i = 0; i < 8; i++) {
				assertFalse(request(node, "/plain/x", "q" + i, KEY).contains("i-plain0"));
			}
		});
		assertEquals(this.upstreams.get("i-plain0").allRuns().size(), before);
	}

	/**
	 * Each VM asks whether the store answers, and none begins to read it in vain.
	 */
	@Test
	void inAnOutageAllAskForTheStoreByTheCheapestCallAndAfterItOneReadsForAll() {
		this.store.setDown(true);
		List<Double> before = this.nodes.stream().map(StoreReplicationTests::asked).toList();
		for (int i = 0; i < this.nodes.size(); i++) {
			int vm = i;
			await(() -> asked(this.nodes.get(vm)) >= before.get(vm) + 3);
		}
		assertEquals(followers(), 1);
		this.store.setDown(false);
		change(9, "/fresh/");
		awaitServed("/fresh/");
		await(() -> followers() == 1);
	}

	private static double asked(Node node) {
		return metrics(node).lines()
			.filter((line) -> line.startsWith("store_calls_stale_list "))
			.mapToDouble((line) -> Double.parseDouble(line.substring(line.indexOf(' ') + 1)))
			.sum();
	}

	/** Pattern: entries lapse in an outage in which the VM that reads is lost. */
	@Test
	void entriesThatLapsedInAnOutageAreKeptByVmsThatOnlyAsked() {
		Node reader = this.nodes.stream().filter(StoreReplicationTests::follows).findFirst().orElseThrow();
		this.store.setDown(true);
		Node other = this.nodes.stream().filter((node) -> node != reader).findFirst().orElseThrow();
		double before = asked(other);
		await(() -> asked(other) >= before + 2);
		reader.close();
		this.nodes.remove(reader);
		String entry = this.upstreams.get("i-plain0").entry("plain", "d", "ready");
		this.store.remove("servers", "i-plain0");
		this.store.remove("servers", "i-plain1");
		this.store.setDown(false);
		await(() -> followers() == 1);
		change(9, "/fresh/");
		awaitServed("/fresh/");
		this.store.put("servers", "i-plain0", entry);
		awaitServed("/fresh/");
	}

}
