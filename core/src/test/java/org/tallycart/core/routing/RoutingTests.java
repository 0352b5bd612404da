package org.tallycart.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.tallycart.core.declaration.BalancerKind;
import org.tallycart.core.declaration.Service;
import org.tallycart.core.declaration.StageKind;
import org.tallycart.core.declaration.Upstream;
import org.tallycart.core.ini.Address;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests for load balancing, retry budgets, deadline division and stage queues.
 */
public class RoutingTests {

	private static Service service(int workers) {
		List<Upstream> upstreams = new ArrayList<>();
		for (int i = 0; i < workers; i++) {
			upstreams.add(new Upstream("u" + i, new Address("10.0.0.1", 1 + i), "lac", 4));
		}
		return new Service("encode", StageKind.ENCODE, "", "", 1, 0, BalancerKind.TWO_CHOICES_AGED, upstreams);
	}

	private static UpstreamTable table(int workers) {
		UpstreamTable table = UpstreamTable.create("vm-1", "lac", 8);
		table.update(List.of(service(workers)));
		return table;
	}

	@Test
	void aDrainingUpstreamIsNeverACandidateAgain() {
		UpstreamTable table = table(3);
		assertTrue(table.markDraining("u1"));
		assertFalse(table.markDraining("u1"));
		table.update(List.of(service(3)));
		List<String> remaining = table.candidates("encode", Set.of(), 0)
			.stream()
			.map((candidate) -> candidate.upstream().id())
			.toList();
		assertEquals(remaining, List.of("u0", "u2"));
	}

	@Test
	void anUpstreamMuchSlowerThanItsPeersIsEjectedForATime() {
		UpstreamTable table = table(4);
		for (int i = 0; i < 10; i++) {
			for (int worker = 0; worker < 4; worker++) {
				table.onStart("u" + worker);
				table.onSuccess("encode", "u" + worker, 1, (worker == 2) ? 500 : 50, 1_000);
			}
		}
		assertEquals(table.candidates("encode", Set.of(), 1_000).size(), 3);
		assertEquals(table.candidates("encode", Set.of(), 60_000).size(), 4);
	}

	@Test
	void anUpstreamOnProbationGetsOneCallAtATime() {
		UpstreamTable table = table(4);
		for (int i = 0; i < 10; i++) {
			for (int worker = 0; worker < 4; worker++) {
				table.onStart("u" + worker);
				table.onSuccess("encode", "u" + worker, 1, (worker == 2) ? 500 : 50, 0);
			}
		}
		long later = 60_000;
		table.onStart("u2");
		assertEquals(table.candidates("encode", Set.of(), later).size(), 3, "a probe is in flight");
		assertTrue(table.onSuccess("encode", "u2", 1, 500, later), "one slow probe ejects again");
		later += 60_000;
		table.onStart("u2");
		assertFalse(table.onSuccess("encode", "u2", 1, 50, later));
		table.onStart("u2");
		assertEquals(table.candidates("encode", Set.of(), later).size(), 4, "proven");
	}

	@Test
	void anUpstreamWhoseCallsTimeOutIsEjected() {
		UpstreamTable table = table(4);
		for (int i = 0; i < 6; i++) {
			for (int worker = 0; worker < 4; worker++) {
				table.onStart("u" + worker);
				if (worker == 2) {
					table.onTimeout("encode", "u2", 1, 500, 1_000);
				}
				else {
					table.onSuccess("encode", "u" + worker, 1, 50, 1_000);
				}
			}
		}
		assertEquals(table.candidates("encode", Set.of(), 1_000).size(), 3);
	}

	@Test
	void ejectionLeavesCandidatesIfAllUpstreamsFail() {
		UpstreamTable table = table(2);
		for (int i = 0; i < 5; i++) {
			table.onFailure("u0", true, 0);
			table.onFailure("u1", true, 0);
		}
		assertEquals(table.candidates("encode", Set.of(), 1).size(), 2);
	}

	@Test
	void aVmUsesAStableSubsetOfALargeService() {
		UpstreamTable table = table(100);
		List<Upstream> used = table.upstreams();
		assertEquals(used.size(), 8);
		table.update(List.of(service(101)));
		long kept = table.upstreams().stream().filter(used::contains).count();
		assertTrue(kept >= 7, "one more upstream moves at most one place: " + kept);
	}

	@Test
	void anOldReportWeighsLessThanAFreshOne() {
		Upstream upstream = service(1).upstreams().get(0);
		LoadScore score = new LoadScore(1_000);
		double fresh = score.compute(new Candidate(upstream, 1, 8, 0, 0, true, 0));
		double old = score.compute(new Candidate(upstream, 1, 8, 0, 5_000, true, 0));
		double withoutReport = score.compute(new Candidate(upstream, 0, 0, 0, -1, true, 0));
		assertTrue(fresh > old && old > withoutReport);
	}

	@Test
	void theLeastLoadedUpstreamIsChosen() {
		List<Candidate> candidates = new ArrayList<>();
		for (Upstream upstream : service(5).upstreams()) {
			int load = upstream.id().equals("u3") ? 1 : 4;
			candidates.add(new Candidate(upstream, load, 0, 0, -1, true, 0));
		}
		Random random = new Random(1);
		for (int i = 0; i < 20; i++) {
			assertEquals(LeastLoadBalancer.withAgeDiscount(1_000).choose(candidates, random::nextInt).upstream().id(),
					"u3");
		}
	}

	@Test
	void extraAttemptsStayWithinTheirShareOfFirstAttempts() {
		RetryBudget budget = RetryBudget.create(0.1, 5, 20);
		int extra = 0;
		for (int i = 0; i < 10_000; i++) {
			budget.onFirstAttempt();
			extra += budget.tryAcquire() ? 1 : 0;
		}
		assertTrue(extra <= 1_005, "extra attempts: " + extra);
		assertTrue(extra >= 995, "extra attempts: " + extra);
	}

	@Test
	void theDeadlineIsDividedByExpectedStageDurations() {
		assertEquals(DeadlineSplit.budgetMs(1_000, List.of(10L, 90L)), 100);
		assertFalse(DeadlineSplit.fits(99, List.of(10L, 90L)));
		assertTrue(DeadlineSplit.fits(100, List.of(10L, 90L)));
	}

	private static StageQueue.Work<String> work(String name, String workspace, double weight, long priority) {
		return new StageQueue.Work<>(name, workspace, weight, priority, 1_000, 1);
	}

	@Test
	void higherPriorityIsDispatchedFirst() {
		StageQueue<String> queue = StageQueue.create(10, 1);
		queue.offer(work("shopper", "a", 1, 10));
		queue.offer(work("courier", "a", 1, 30));
		queue.offer(work("clerk", "a", 1, 20));
		List<String> order = new ArrayList<>();
		for (int i = 0; i < 3; i++) {
			order.add(queue.poll().orElseThrow().payload());
			assertTrue(queue.poll().isEmpty(), "the limit is one call in flight");
			queue.release();
		}
		assertEquals(order, List.of("courier", "clerk", "shopper"));
	}

	@Test
	void aFloodingWorkspaceDisplacesItsOwnWorkOnly() {
		StageQueue<String> queue = StageQueue.create(10, 1);
		for (int i = 0; i < 10; i++) {
			queue.offer(work("flood" + i, "flood", 1, 0));
		}
		assertEquals(queue.offer(work("quiet", "quiet", 1, 0)).orElseThrow().payload(), "flood9");
		queue.poll();
		queue.release();
		assertEquals(queue.poll().orElseThrow().payload(), "quiet");
	}

	@Test
	void aQuietWorkspaceIsDispatchedBeforeAFloodingOne() {
		StageQueue<String> queue = StageQueue.create(100, 1);
		for (int i = 0; i < 50; i++) {
			queue.offer(work("flood" + i, "flood", 1, 0));
		}
		assertTrue(queue.countAhead("quiet", 0) <= 1, "ahead: " + queue.countAhead("quiet", 0));
		assertEquals(queue.countAhead("flood", 0), 50);
		assertEquals(queue.countAhead("quiet", -1), 50);
		assertEquals(queue.countAhead("flood", 1), 0);
	}

	@Test
	void workspacesShareByWeight() {
		StageQueue<String> queue = StageQueue.create(1_000, 1);
		for (int i = 0; i < 300; i++) {
			queue.offer(work("light", "light", 1, 0));
			queue.offer(work("heavy", "heavy", 2, 0));
		}
		Map<String, Integer> counts = new HashMap<>();
		for (int i = 0; i < 300; i++) {
			counts.merge(queue.poll().orElseThrow().payload(), 1, Integer::sum);
			queue.release();
		}
		assertTrue(Math.abs(counts.get("heavy") - 200) <= 2, counts.toString());
	}

	@Test
	void quantilesAreComputedFromTheLatestSamples() {
		LatencyWindow window = LatencyWindow.ofSize(10);
		assertEquals(window.quantile(0.5, 7), 7);
		Random random = new Random(1);
		for (int i = 0; i < 100; i++) {
			window.add(random.nextInt(1_000) + 5_000);
		}
		for (int i = 1; i <= 10; i++) {
			window.add(i);
		}
		assertEquals(window.quantile(0.5, 0), 6);
		assertEquals(window.quantile(1, 0), 10);
	}

}
