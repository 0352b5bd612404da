package org.tallycart.node;

import java.util.List;
import java.util.stream.Stream;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests for upstreams whose entries are removed while VMs change their source of the
 * store's contents.
 */
public class UpstreamRemovalTests extends AbstractNodeTests {

	private static final int UPSTREAMS = 6;

	/** Probes in an outage, one each 400 ms. */
	private static final int OUTAGE_PROBES = 10;

	private static final String STAGED = GENERATION + "X-Tallycart-Pieces: 4,2\r\nX-Tallycart-Piece-Key: k\r\n";

	@Override
	int vms() {
		return 4;
	}

	@BeforeMethod(dependsOnMethods = "begin")
	void settle() {
		awaitReader();
	}

	// Returns the only VM that reads the store.
	private Node awaitReader() {
		await(() -> this.nodes.stream().filter(UpstreamRemovalTests::readsStore).count() == 1);
		return this.nodes.stream().filter(UpstreamRemovalTests::readsStore).findFirst().orElseThrow();
	}

	private static boolean readsStore(Node node) {
		return metrics(node).contains("\nstore_following 1.0");
	}

	private void awaitUpstreams(int count) {
		this.nodes.forEach((node) -> await(() -> metrics(node).contains("\nupstreams " + count + ".0\n")));
	}

	private static double probeCount(Node node) {
		return metrics(node).lines()
			.filter((line) -> line.startsWith("store_calls_stale_list "))
			.mapToDouble((line) -> Double.parseDouble(line.substring(line.indexOf(' ') + 1)))
			.sum();
	}

	// The store is down for long enough that entries of live upstreams expire.
	private void expireInOutage(List<String> ids) {
		Node reader = awaitReader();
		this.store.setDown(true);
		double before = probeCount(reader);
		await(() -> probeCount(reader) >= before + OUTAGE_PROBES);
		ids.forEach((id) -> this.store.remove("servers", id));
		this.store.setDown(false);
	}

	private int stageCalls() {
		return Stream.of("i-pool0", "i-pool1").mapToInt((id) -> this.upstreams.get(id).batchSizes().size()).sum();
	}

	// Guards against a pool dispatcher that calls workers for as long as they answer,
	// after all VMs have dropped them.
	@Test
	void aPoolCallsNoWorkerWhoseGracePeriodIsOver() {
		this.nodes.forEach((node) -> request(node, "/stream/x", "before", STAGED));
		assertTrue(stageCalls() > 0);
		expireInOutage(List.of("i-pool0", "i-pool1"));
		awaitUpstreams(UPSTREAMS - 2);
		int before = stageCalls();
		this.nodes.forEach((node) -> request(node, "/stream/x", "after", STAGED));
		assertEquals(stageCalls(), before);
	}

	// Guards against requests to upstreams that were removed while the VM that reads the
	// store fails, since the VM that takes over takes them for expired.
	@Test
	void aVmThatTakesOverDropsUpstreamsThatWereRemovedMeanwhile() {
		Node reader = awaitReader();
		reader.close();
		this.nodes.remove(reader);
		this.store.remove("servers", "i-plain0");
		for (Node node : this.nodes) {
			await(() -> {
				String page = metrics(node);
				assertTrue(page.contains("\nupstreams_retained 0.0\n"), page);
				return page.contains("\nupstreams " + (UPSTREAMS - 1) + ".0\n");
			});
		}
	}

}
