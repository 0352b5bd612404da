package org.tallycart.core.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests of the schedule by which VMs compare their records, and of its cost and duration
 * in whole fleets, in virtual time.
 */
public class RecordExchangeTests {

	private static final long SILENT_MS = RecordExchange.STORE_SILENCE_MS + 1;

	private static final int STEP_MS = 20;

	/** Maximum time until all VMs have the latest list, in milliseconds. */
	private static final long MAX_SPREAD_MS = 5_000;

	private static final int SEEDS = 5;

	private static List<String> names(int count) {
		return IntStream.range(0, count).mapToObj((i) -> "vm-" + i).toList();
	}

	private static RecordExchange exchange(int vms) {
		RecordExchange exchange = new RecordExchange("vm-0");
		exchange.updateVms(names(vms));
		return exchange;
	}

	private static long requests(RecordExchange exchange, long fromMs, long toMs, long storeAgeMs) {
		return IntStream.range(0, (int) (toMs - fromMs))
			.filter((ms) -> exchange.nextPeer(storeAgeMs, fromMs + ms).isPresent())
			.count();
	}

	@Test
	void noRequestIsSentWhileTheStoreReplies() {
		RecordExchange exchange = exchange(6);
		assertEquals(requests(exchange, 0, 10_000, RecordExchange.STORE_SILENCE_MS), 0);
		assertFalse(exchange.isActive());
	}

	// Guards against a watch of other objects that counts as a read of the list.
	@Test
	void requestsAreSentFromTheFirstFailedListToTheNextRead() {
		RecordExchange exchange = exchange(6);
		exchange.setListLost(true);
		assertEquals(requests(exchange, 0, 1_000, 0), 5);
		assertTrue(exchange.isActive());
		exchange.setListLost(false);
		assertEquals(requests(exchange, 1_000, 2_000, 0), 0);
		assertFalse(exchange.isActive());
	}

	@Test
	void noRequestIsSentByAVmThatKnowsNoOther() {
		assertEquals(requests(exchange(1), 0, 10_000, SILENT_MS), 0);
	}

	@Test
	void eachOtherVmIsAskedInTurn() {
		RecordExchange exchange = exchange(6);
		List<String> asked = new ArrayList<>();
		for (int i = 0; i < 5; i++) {
			asked.add(exchange.nextPeer(SILENT_MS, i * RecordExchange.INTERVAL_MS).orElseThrow());
		}
		assertEquals(asked.stream().sorted().toList(), names(6).subList(1, 6));
	}

	@Test
	void requestsAreFewerOnceNoDifferenceIsFound() {
		RecordExchange exchange = exchange(100);
		assertEquals(requests(exchange, 0, 2_000, SILENT_MS), 10);
		for (int i = 0; i < RecordExchange.SETTLED_REPLIES; i++) {
			exchange.onReply(true);
		}
		assertEquals(requests(exchange, 10_000, 20_000, SILENT_MS), 5);
		exchange.onReply(false);
		assertEquals(requests(exchange, 30_000, 32_000, SILENT_MS), 10);
	}

	@Test
	void newRecordsEndTheSettledState() {
		RecordExchange exchange = exchange(2);
		exchange.onReply(true);
		assertEquals(requests(exchange, 0, 2_000, SILENT_MS), 1);
		exchange.updateVms(names(3));
		assertEquals(requests(exchange, 10_000, 12_000, SILENT_MS), 10);
	}

	@Test
	void listsAreBoundedInEachInterval() {
		RecordExchange exchange = exchange(100);
		long sent = IntStream.range(0, 1_000).filter((ms) -> exchange.markListIfDue("vm-" + ms, ms)).count();
		assertEquals(sent, 5 * RecordExchange.MAX_LISTS_PER_INTERVAL);
		assertTrue(exchange.markListIfDue("vm-x", 5_000));
		assertFalse(exchange.markListIfDue("vm-x", 5_000 + RecordExchange.INTERVAL_MS));
		assertTrue(exchange.markListIfDue("vm-x", 5_000 + RecordExchange.REPEAT_INTERVAL_MS));
	}

	@DataProvider
	static Object[][] sizes() {
		return new Object[][] { { 2 }, { 3 }, { 6 }, { 18 }, { 60 }, { 300 }, { 2_000 } };
	}

	// Guards against VMs that nobody contacts: each VM has read of those that started
	// before it, at least, and the store does not reply any more.
	@Test(dataProvider = "sizes")
	void allVmsLearnOfAllOthersAtABoundedCost(int vms) {
		int seeds = (vms > 300) ? 1 : SEEDS;
		for (int seed = 1; seed <= seeds; seed++) {
			Fleet fleet = new Fleet(vms, new Random(seed));
			long doneMs = fleet.runUntilAllKnowAll(MAX_SPREAD_MS);
			String result = vms + " VMs, seed " + seed + ": " + doneMs + " ms, at most " + fleet.maxReceivedPerSecond()
					+ " requests received a second, " + fleet.maxListsSent() + " lists sent, "
					+ fleet.maxListsReceived() + " lists received by one VM";
			assertTrue(doneMs < MAX_SPREAD_MS, result);
			assertTrue(fleet.maxReceivedPerSecond() <= 30, result);
			assertTrue(fleet.maxListsReceived() <= 30, result);
		}
	}

	/** Simulated VMs whose requests and lists arrive at once. */
	private static final class Fleet {

		private final List<String> names;

		private final RecordExchange[] exchanges;

		private final int[] known;

		private final int[] phaseMs;

		private final int[][] received;

		private final int[] listsSent;

		private final int[] listsReceived;

		Fleet(int count, Random random) {
			this.names = names(count);

			this.exchanges = new RecordExchange[count];
			this.known = new int[count];
			this.phaseMs = new int[count];
			this.received = new int[count][(int) (MAX_SPREAD_MS / 1_000) + 1];
			this.listsSent = new int[count];
			this.listsReceived = new int[count];
			for (int i = 0; i < count; i++) {
				this.exchanges[i] = new RecordExchange(this.names.get(i));
				this.phaseMs[i] = random.nextInt((int) RecordExchange.INTERVAL_MS);
				learn(i, Math.min(i + 1 + random.nextInt(1 + count / 10), count));
			}
		}

		private void learn(int vm, int count) {
			this.known[vm] = count;
			this.exchanges[vm].updateVms(this.names.subList(0, count));
		}

		long runUntilAllKnowAll(long maxMs) {
			for (long now = 0; now < maxMs; now += STEP_MS) {
				for (int vm = 0; vm < this.known.length; vm++) {
					if (now >= this.phaseMs[vm]) {
						step(vm, now);
					}
				}
				if (IntStream.of(this.known).allMatch((count) -> count == this.known.length)) {
					return now;
				}
			}
			return maxMs;
		}

		private void step(int vm, long now) {
			Optional<String> peer = this.exchanges[vm].nextPeer(SILENT_MS, now);
			if (peer.isEmpty()) {
				return;
			}
			int other = Integer.parseInt(peer.get().substring("vm-".length()));
			this.received[other][(int) (now / 1_000)]++;
			send(other, vm, now);
			this.exchanges[vm].onReply(this.known[other] == this.known[vm]);
			send(vm, other, now);
		}

		private void send(int from, int to, long now) {
			if (this.known[from] > this.known[to] && this.exchanges[from].markListIfDue(this.names.get(to), now)) {
				this.listsSent[from]++;
				this.listsReceived[to]++;
				learn(to, this.known[from]);
			}
		}

		int maxReceivedPerSecond() {
			return IntStream.range(0, this.received.length)
				.flatMap((vm) -> IntStream.of(this.received[vm]))
				.max()
				.orElse(0);
		}

		int maxListsSent() {
			return IntStream.of(this.listsSent).max().orElse(0);
		}

		int maxListsReceived() {
			return IntStream.of(this.listsReceived).max().orElse(0);
		}

	}

}
