package org.tallycart.core.pool;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;

import org.tallycart.core.ini.Address;
import org.tallycart.core.serving.PoolSpec;
import org.tallycart.core.serving.UpstreamEntry;
import org.tallycart.core.upstream.UnavailabilityRegistry;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests for a {@link PoolDispatcher} whose workers restart, drain, back off or are
 * evacuated while pieces are pending.
 */
public class PoolWorkerChangesTests {

	private static final PieceListener IGNORE_OUTCOME = (id, outcome) -> {
		// The outcomes are not checked.
	};

	private static final PoolSpec SPEC = new PoolSpec(1, 2, 4, 200, 10, 1_000_000, 4_000);

	private PoolDispatcher dispatcher = new PoolDispatcher(SPEC);

	@BeforeMethod
	void createDispatcher() {
		this.dispatcher = new PoolDispatcher(SPEC);
	}

	private static UpstreamEntry worker(String id, String domain, long startedMs) {
		return UpstreamEntry.builder(id, "pool")
			.startedMs(OptionalLong.of(startedMs))
			.location(new Address("10.0.0.1", 1), domain)
			.build();
	}

	private void submit(String request, long resultBytes) {
		this.dispatcher.submit(PieceJob.builder(new PieceId(request, 0, 0), "pool")
			.source("key", List.of())
			.dueBy(5_000, 9_000)
			.result(resultBytes, false)
			.build(), IGNORE_OUTCOME);
	}

	/**
	 * Guards against calls to an evacuated domain, and against losing the calls in
	 * progress there.
	 */
	@Test
	void anEvacuatedWorkerGetsNoCallAndKeepsItsRunningCall() {
		List<UpstreamEntry> workers = List.of(worker("near", "d1", 1), worker("far", "d2", 1));
		this.dispatcher.updateWorkers(workers, Set.of());
		submit("r1", 0);
		PoolCall running = this.dispatcher.nextCall(0).orElseThrow();
		String domain = running.worker().failureDomain();
		this.dispatcher.updateWorkers(workers, Set.of(domain));
		submit("r2", 0);
		submit("r3", 0);
		PoolCall other = this.dispatcher.nextCall(10).orElseThrow();
		assertTrue(!other.worker().failureDomain().equals(domain), "evacuated");
		submit("r4", 0);
		assertTrue(this.dispatcher.nextCall(20).isEmpty());
		this.dispatcher.updateWorkers(workers, Set.of());
		assertTrue(this.dispatcher.nextCall(30).isEmpty(), "both still have their calls");
		this.dispatcher.onReply(running.number(), List.of(PieceOutcome.completed("h1")), 210);
		assertEquals(this.dispatcher.nextCall(210).orElseThrow().worker(), running.worker());
	}

	/**
	 * Guards against calls to idle workers of an evacuated domain, and against leaving
	 * them unused afterwards.
	 */
	@Test
	void anIdleEvacuatedWorkerGetsNoCallUntilTheEvacuationEnds() {
		List<UpstreamEntry> workers = List.of(worker("near", "d1", 1), worker("far", "d2", 1));
		this.dispatcher.updateWorkers(workers, Set.of("d1", "d2"));
		submit("r1", 0);
		assertTrue(this.dispatcher.nextCall(0).isEmpty());
		this.dispatcher.updateWorkers(workers, Set.of("d1"));
		assertEquals(this.dispatcher.nextCall(10).orElseThrow().worker().failureDomain(), "d2");
		submit("r2", 0);
		assertTrue(this.dispatcher.nextCall(20).isEmpty());
		this.dispatcher.updateWorkers(workers, Set.of());
		assertEquals(this.dispatcher.nextCall(30).orElseThrow().worker().failureDomain(), "d1");
	}

	/**
	 * Guards against memory and calls of the former incarnation that are counted for the
	 * new one.
	 */
	@Test
	void aRestartedWorkerStartsWithoutUsedMemoryAndCalls() {
		this.dispatcher.updateWorkers(List.of(worker("w", "d", 1)), Set.of());
		submit("r1", 1_000_000);
		PoolCall lost = this.dispatcher.nextCall(0).orElseThrow();
		this.dispatcher.updateWorkers(List.of(worker("w", "d", 2)), Set.of());
		submit("r2", 1_000_000);
		PoolCall fresh = this.dispatcher.nextCall(10).orElseThrow();
		assertEquals(fresh.worker().startedMs().getAsLong(), 2);
		this.dispatcher.onFailure(lost.number(), true, 20);
		assertTrue(this.dispatcher.nextCall(30).isEmpty(), "the new one is busy with its own call");
	}

	/** Guards against calls that the limiter does not permit. */
	@Test
	void aWorkerGetsACallOnlyIfTheLimiterPermits() {
		Set<String> refused = new HashSet<>(Set.of("w1"));
		List<String> called = new ArrayList<>();
		PoolDispatcher limited = new PoolDispatcher(SPEC, new CallLimiter() {

			@Override
			public boolean mayCall(UpstreamEntry worker) {
				return !refused.contains(worker.id());
			}

			@Override
			public long acceptsInMs(UpstreamEntry worker) {
				return 0;
			}

			@Override
			public void onCall(UpstreamEntry worker) {
				called.add(worker.id());
			}

		});
		limited.updateWorkers(List.of(worker("w1", "d1", 1), worker("w2", "d1", 1)), Set.of());
		limited.submit(job("r1"), IGNORE_OUTCOME);
		limited.submit(job("r2"), IGNORE_OUTCOME);
		assertEquals(limited.nextCall(0).orElseThrow().worker().id(), "w2");
		limited.submit(job("r3"), IGNORE_OUTCOME);
		assertTrue(limited.nextCall(10).isEmpty());
		refused.clear();
		assertEquals(limited.nextCall(20).orElseThrow().worker().id(), "w1");
		assertEquals(called, List.of("w2", "w1"));
	}

	/** Creates a limiter from the statements of workers. */
	private static CallLimiter limiterOf(UnavailabilityRegistry unavailability, long nowMs) {
		return new CallLimiter() {

			@Override
			public boolean mayCall(UpstreamEntry worker) {
				return true;
			}

			@Override
			public long acceptsInMs(UpstreamEntry worker) {
				return unavailability.acceptsInMs(worker.incarnation(), nowMs);
			}

			@Override
			public void onCall(UpstreamEntry worker) {
				// These workers have no limit to count against.
			}

		};
	}

	/** Guards against calls to a worker that has stated that it is draining. */
	@Test
	void aDrainingWorkerGetsNoCallAndPiecesGoToTheOther() {
		UnavailabilityRegistry unavailability = new UnavailabilityRegistry();
		PoolDispatcher pool = new PoolDispatcher(SPEC, limiterOf(unavailability, 0));
		UpstreamEntry draining = worker("w1", "d1", 1);
		UpstreamEntry other = worker("w2", "d1", 1);
		pool.updateWorkers(List.of(draining, other), Set.of());
		unavailability.onDraining(draining.incarnation(), 0);
		pool.submit(job("r1"), IGNORE_OUTCOME);
		assertEquals(pool.nextCall(0).orElseThrow().worker(), other);
		pool.submit(job("r2"), IGNORE_OUTCOME);
		assertTrue(pool.nextCall(0).isEmpty(), "it waits for the other one");
		assertEquals(pool.queueSize(), 1);
	}

	/**
	 * Guards against pieces that stay queued, or get a wrong retry time, while all
	 * workers are in backoff.
	 */
	@Test
	void whileAllWorkersBackOffPiecesFailWithTheEarliestRetryTime() {
		UnavailabilityRegistry unavailability = new UnavailabilityRegistry();
		PoolDispatcher pool = new PoolDispatcher(SPEC, limiterOf(unavailability, 0));
		List<PieceOutcome> outcomes = new ArrayList<>();
		pool.submit(job("early"), (id, outcome) -> outcomes.add(outcome));
		assertTrue(pool.nextCall(0).isEmpty());
		assertEquals(outcomes, List.of(), "which workers there are is not known yet");
		UpstreamEntry first = worker("w1", "d1", 1);
		UpstreamEntry second = worker("w2", "d1", 1);
		pool.updateWorkers(List.of(first, second, worker("w3", "d2", 1)), Set.of("d2"));
		unavailability.onBackoff(first.incarnation(), 2_000, 0);
		unavailability.onBackoff(second.incarnation(), 700, 0);
		assertTrue(pool.nextCall(0).isEmpty());
		assertEquals(outcomes, List.of(PieceOutcome.noWorker(700)));
		assertEquals(pool.queueSize(), 0);
	}

	/** Guards against pieces that stay queued in a pool without workers. */
	@Test
	void withoutWorkersPiecesAreNotQueued() {
		List<PieceOutcome> outcomes = new ArrayList<>();
		this.dispatcher.updateWorkers(List.of(), Set.of());
		this.dispatcher.submit(job("r1"), (id, outcome) -> outcomes.add(outcome));
		assertTrue(this.dispatcher.nextCall(0).isEmpty());
		assertEquals(outcomes.get(0).status(), PieceOutcome.Status.NO_WORKER);
		assertTrue(outcomes.get(0).retryAfterMs() > 0);
	}

	private static PieceJob job(String request) {
		return PieceJob.builder(new PieceId(request, 0, 0), "pool")
			.source("key", List.of())
			.dueBy(5_000, 9_000)
			.build();
	}

}
