package org.tallycart.node;

import java.util.List;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests for replication of the store through one VM of a failure domain.
 */
public class StoreReplicationTests extends AbstractNodeTests {

	private static final String KIND = "config";

	@Override
	int vms() {
		return 4;
	}

	@Override
	long upstreamHeartbeatMs() {
		return 300;
	}

	@BeforeMethod(dependsOnMethods = "begin")
	void settle() {
		await(() -> readerCount() == 1);
	}

	private long readerCount() {
		return this.nodes.stream().filter(StoreReplicationTests::readsStore).count();
	}

	private static boolean readsStore(Node node) {
		return metrics(node).contains("\nstore_following 1.0");
	}

	private void changeConfig(int version, String path) {
		this.store.put(KIND, "main", String.format(CONFIG, version).replace("/plain/", path));
	}

	private void awaitServed(String path) {
		this.nodes.forEach((node) -> await(() -> request(node, path + "x", "r1", KEY).startsWith("HTTP/1.1 200")));
	}

	@Test
	void oneVmReadsAChangeAndAllVmsReceiveIt() {
		int before = this.store.watchesWithChanges(KIND);
		changeConfig(9, "/fresh/");
		awaitServed("/fresh/");
		assertEquals(this.store.watchesWithChanges(KIND) - before, 1);
	}

	/**
	 * A subscriber writes its record and reads the records of the other VMs, and makes no
	 * other call of the store.
	 */
	@Test
	void aVmThatStartsBesideOthersSubscribesToThem() {
		Node late = Node.start(settings("vm-late"), 0).get();
		this.nodes.add(late);
		await(() -> ready(late));
		String page = metrics(late);
		assertTrue(page.contains("\nstore_calls_write 1.0"), page);
		assertFalse(page.contains("\nstore_calls_list "), page);
		assertFalse(page.contains("\nstore_calls_watch "), page);
	}

	@Test
	void changesAreStillReceivedAfterTheReadingVmFails() {
		Node reader = this.nodes.stream().filter(StoreReplicationTests::readsStore).findFirst().orElseThrow();
		reader.close();
		this.nodes.remove(reader);
		changeConfig(9, "/fresh/");
		awaitServed("/fresh/");
		await(() -> readerCount() == 1);
	}

	@Test
	void aRemovedUpstreamGetsNoRequestsFromAnyVm() {
		this.store.remove("servers", "i-plain0");
		this.nodes.forEach((node) -> await(() -> metrics(node).contains("\nupstreams 5.0")));
		int before = this.upstreams.get("i-plain0").runCounts().size();
		this.nodes.forEach((node) -> {
			for (int i = 0; i < 8; i++) {
				assertFalse(request(node, "/plain/x", "q" + i, KEY).contains("i-plain0"));
			}
		});
		assertEquals(this.upstreams.get("i-plain0").runCounts().size(), before);
	}

	/**
	 * Each VM probes the store, and none starts to read it during the outage.
	 */
	@Test
	void allVmsProbeDuringAnOutageAndOneVmReadsAfterIt() {
		this.store.setDown(true);
		List<Double> before = this.nodes.stream().map(StoreReplicationTests::probeCount).toList();
		for (int i = 0; i < this.nodes.size(); i++) {
			int vm = i;
			await(() -> probeCount(this.nodes.get(vm)) >= before.get(vm) + 3);
		}
		assertEquals(readerCount(), 1);
		this.store.setDown(false);
		changeConfig(9, "/fresh/");
		awaitServed("/fresh/");
		await(() -> readerCount() == 1);
	}

	private static double probeCount(Node node) {
		return metrics(node).lines()
			.filter((line) -> line.startsWith("store_calls_stale_list "))
			.mapToDouble((line) -> Double.parseDouble(line.substring(line.indexOf(' ') + 1)))
			.sum();
	}

	/** Entries expire during an outage in which the reading VM fails. */
	@Test
	void entriesThatExpiredInAnOutageAreRetainedByVmsThatOnlyProbed() {
		Node reader = this.nodes.stream().filter(StoreReplicationTests::readsStore).findFirst().orElseThrow();
		this.store.setDown(true);
		Node other = this.nodes.stream().filter((node) -> node != reader).findFirst().orElseThrow();
		double before = probeCount(other);
		await(() -> probeCount(other) >= before + 2);
		reader.close();
		this.nodes.remove(reader);
		String entry = this.upstreams.get("i-plain0").entry("plain", "d", "ready");
		this.store.remove("servers", "i-plain0");
		this.store.remove("servers", "i-plain1");
		this.store.setDown(false);
		await(() -> readerCount() == 1);
		changeConfig(9, "/fresh/");
		awaitServed("/fresh/");
		this.store.put("servers", "i-plain0", entry);
		awaitServed("/fresh/");
	}

	/**
	 * Entries expire in the shortest outage in which they can, and the reader fails as it
	 * begins. Guards against a VM that takes over, removes all upstreams and refuses
	 * requests.
	 */
	@Test
	void entriesThatExpiredInAnOutageAreRetainedByAVmThatTakesOver() {
		Node reader = this.nodes.stream().filter(StoreReplicationTests::readsStore).findFirst().orElseThrow();
		this.store.setDown(true);
		reader.close();
		this.nodes.remove(reader);
		this.store.remove("servers", "i-plain0");
		this.store.remove("servers", "i-plain1");
		pause(2 * upstreamHeartbeatMs());
		int before = this.store.watchCount("servers");
		this.store.setDown(false);
		await(() -> this.store.watchCount("servers") > before);
		this.nodes.forEach((node) -> {
			String response = request(node, "/plain/x", "r1", KEY);
			assertTrue(response.startsWith("HTTP/1.1 200"), response);
		});
	}

}
