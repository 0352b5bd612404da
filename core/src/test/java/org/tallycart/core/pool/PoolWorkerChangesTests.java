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
 * Tests for a pool whose workers restart, or are evacuated, while it has work.
 */
public class PoolWorkerChangesTests {

	private static final PieceListener NOBODY = (id, outcome) -> {
		// Nothing is asked of the outcome here.
	};

	private static final PoolSpec SPEC = new PoolSpec(1, 2, 4, 200, 10, 1_000_000, 4_000);

	private PoolDispatcher dispatcher = new PoolDispatcher(SPEC);

	@BeforeMethod
	void begin() {
		this.dispatcher = new PoolDispatcher(SPEC);
	}

	private static UpstreamEntry worker(String id, String domain, long startedMs) {
		return UpstreamEntry.builder(id, "pool")
			.startedMs(OptionalLong.of(startedMs))
			.location(new Address("10.0.0.1", 1), domain)
			.build();
	}

	private void ask(String request, long resultBytes) {
		this.dispatcher.submit(PieceJob.builder(new PieceId(request, 0, 0), "pool")
			.source("key", List.of())
			.dueBy(5_000, 9_000)
			.result(resultBytes, false)
			.build(), NOBODY);
	}

	/** Pattern: a failure domain is emptied in a call's time and taken back in it. */
	@Test
	void anEvacuatedWorkerGetsNoCallAndKeepsTheOneItHas() {
		List<UpstreamEntry> workers = List.of(worker("near", "d1", 1), worker("far", "d2", 1));
		this.dispatcher.updateWorkers(workers, Set.of());
		ask("r1", 0);
		PoolCall running = this.dispatcher.nextCall(0).orElseThrow();
		String domain = running.worker().failureDomain();
		this.dispatcher.updateWorkers(workers, Set.of(domain));
		ask("r2", 0);
		ask("r3", 0);
		PoolCall other = this.dispatcher.nextCall(10).orElseThrow();
		assertTrue(!other.worker().failureDomain().equals(domain), "evacuated");
		ask("r4", 0);
		assertTrue(this.dispatcher.nextCall(20).isEmpty());
		this.dispatcher.updateWorkers(workers, Set.of());
		assertTrue(this.dispatcher.nextCall(30).isEmpty(), "both still have their calls");
		this.dispatcher.onAnswer(running.number(), List.of(PieceOutcome.completed("h1")), 210);
		assertEquals(this.dispatcher.nextCall(210).orElseThrow().worker(), running.worker());
	}

	/**
	 * Pattern: a failure domain is emptied while pieces wait and its workers are idle.
	 */
	@Test
	void anIdleWorkerThatIsEvacuatedGetsNoCallUntilThatIsTakenBack() {
		List<UpstreamEntry> workers = List.of(worker("near", "d1", 1), worker("far", "d2", 1));
		this.dispatcher.updateWorkers(workers, Set.of("d1", "d2"));
		ask("r1", 0);
		assertTrue(this.dispatcher.nextCall(0).isEmpty());
		this.dispatcher.updateWorkers(workers, Set.of("d1"));
		assertEquals(this.dispatcher.nextCall(10).orElseThrow().worker().failureDomain(), "d2");
		ask("r2", 0);
		assertTrue(this.dispatcher.nextCall(20).isEmpty());
		this.dispatcher.updateWorkers(workers, Set.of());
		assertEquals(this.dispatcher.nextCall(30).orElseThrow().worker().failureDomain(), "d1");
	}

	/** Pattern: a worker full of results restarts under the name that it had. */
	@Test
	void aWorkerThatRestartedHasAllItsRoomAndItsFormerCallsAreNotCounted() {
		this.dispatcher.updateWorkers(List.of(worker("w", "d", 1)), Set.of());
		ask("r1", 1_000_000);
		PoolCall lost = this.dispatcher.nextCall(0).orElseThrow();
		this.dispatcher.updateWorkers(List.of(worker("w", "d", 2)), Set.of());
		ask("r2", 1_000_000);
		PoolCall fresh = this.dispatcher.nextCall(10).orElseThrow();
		assertEquals(fresh.worker().startedMs().getAsLong(), 2);
		this.dispatcher.onFailure(lost.number(), true, 20);
		assertTrue(this.dispatcher.nextCall(30).isEmpty(), "the new one is busy with its own call");
	}

	/** Pattern: of two workers one takes no more calls for now, and pieces wait. */
	@Test
	void aWorkerGetsACallOnlyWhenItTakesOne() {
		Set<String> closed = new HashSet<>(Set.of("w1"));
		List<String> called = new ArrayList<>();
		PoolDispatcher limited = new PoolDispatcher(SPEC, new CallLimiter() {

			@Override
			public boolean mayCall(UpstreamEntry worker) {
				return !closed.contains(worker.id());
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
		limited.submit(job("r1"), NOBODY);
		limited.submit(job("r2"), NOBODY);
		assertEquals(limited.nextCall(0).orElseThrow().worker().id(), "w2");
		limited.submit(job("r3"), NOBODY);
		assertTrue(limited.nextCall(10).isEmpty());
		closed.clear();
		assertEquals(limited.nextCall(20).orElseThrow().worker().id(), "w1");
		assertEquals(called, List.of("w2", "w1"));
	}

	/** What workers say of themselves, as one VM knows it. */
	private static CallLimiter stated(UnavailabilityRegistry absences, long nowMs) {
		return new CallLimiter() {

			@Override
			public boolean mayCall(UpstreamEntry worker) {
				return true;
			}

			@Override
			public long acceptsInMs(UpstreamEntry worker) {
				return absences.acceptsInMs(worker.incarnation(), nowMs);
			}

			@Override
			public void onCall(UpstreamEntry worker) {
				// Nothing is counted.
			}

		};
	}

	/** Pattern: of two workers one says that it leaves, or needs rest; pieces wait. */
	@Test
	void aWorkerThatLeavesOrRestsGetsNoCallAndPiecesGoToTheOther() {
		UnavailabilityRegistry absences = new UnavailabilityRegistry();
		PoolDispatcher pool = new PoolDispatcher(SPEC, stated(absences, 0));
		UpstreamEntry leaving = worker("w1", "d1", 1);
		UpstreamEntry other = worker("w2", "d1", 1);
		pool.updateWorkers(List.of(leaving, other), Set.of());
		absences.onDraining(leaving.incarnation(), 0);
		pool.submit(job("r1"), NOBODY);
		assertEquals(pool.nextCall(0).orElseThrow().worker(), other);
		pool.submit(job("r2"), NOBODY);
		assertTrue(pool.nextCall(0).isEmpty(), "it waits for the other one");
		assertEquals(pool.queueSize(), 1);
	}

	/** Pattern: all workers need rest, and a failure domain of others is evacuated. */
	@Test
	void whereAllRestPiecesAreToldWhenTheFirstTakesCalls() {
		UnavailabilityRegistry absences = new UnavailabilityRegistry();
		PoolDispatcher pool = new PoolDispatcher(SPEC, stated(absences, 0));
		List<PieceOutcome> heard = new ArrayList<>();
		pool.submit(job("early"), (id, outcome) -> heard.add(outcome));
		assertTrue(pool.nextCall(0).isEmpty());
		assertEquals(heard, List.of(), "which workers there are is not known yet");
		UpstreamEntry first = worker("w1", "d1", 1);
		UpstreamEntry second = worker("w2", "d1", 1);
		pool.updateWorkers(List.of(first, second, worker("w3", "d2", 1)), Set.of("d2"));
		absences.onBackoff(first.incarnation(), 2_000, 0);
		absences.onBackoff(second.incarnation(), 700, 0);
		assertTrue(pool.nextCall(0).isEmpty());
		assertEquals(heard, List.of(PieceOutcome.noWorker(700)));
		assertEquals(pool.queueSize(), 0);
	}

	/** Pattern: all workers of a pool have left before others take their place. */
	@Test
	void withoutAnyWorkerPiecesAreNotHeld() {
		List<PieceOutcome> heard = new ArrayList<>();
		this.dispatcher.updateWorkers(List.of(), Set.of());
		this.dispatcher.submit(job("r1"), (id, outcome) -> heard.add(outcome));
		assertTrue(this.dispatcher.nextCall(0).isEmpty());
		assertEquals(heard.get(0).status(), PieceOutcome.Status.NO_WORKER);
		assertTrue(heard.get(0).retryAfterMs() > 0);
	}

	private static PieceJob job(String request) {
		return PieceJob.builder(new PieceId(request, 0, 0), "pool")
			.source("key", List.of())
			.dueBy(5_000, 9_000)
			.build();
	}

}
