package org.tallycart.core.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.tallycart.core.ini.Address;
import org.tallycart.core.serving.PoolSpec;
import org.tallycart.core.serving.UpstreamEntry;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests for {@link PoolDispatcher} with workers that fall silent during a call and go on.
 */
public class SilentWorkerTests {

	private static final PoolSpec SPEC = new PoolSpec(1, 2, 4, 200, 20, 10_000_000, 4_000);

	private static final PieceId PIECE = new PieceId("r", 0, 0);

	/** Later than the time at which a call is overdue. */
	private static final long OVERDUE_MS = 800;

	private static final long DEADLINE_MS = 3_000;

	private final Map<PieceId, PieceOutcome> received = new HashMap<>();

	private final List<PieceId> handedBack = new ArrayList<>();

	private PoolDispatcher dispatcher = new PoolDispatcher(SPEC);

	@BeforeMethod
	void createDispatcher() {
		this.received.clear();
		this.handedBack.clear();
		this.dispatcher = new PoolDispatcher(SPEC);
	}

	private static UpstreamEntry worker(String id, boolean draining) {
		return UpstreamEntry.builder(id, "pool").location(new Address("10.0.0.1", 1), "d").draining(draining).build();
	}

	private void setWorkers(UpstreamEntry... workers) {
		this.dispatcher.updateWorkers(List.of(workers), Set.of());
	}

	// Submits the piece, and returns its call at a worker that then falls silent.
	private PoolCall callSilentWorker() {
		setWorkers(worker("silent", false));
		PieceJob job = PieceJob.builder(PIECE, "pool")
			.dueBy(DEADLINE_MS, DEADLINE_MS)
			.priority(0)
			.preferredDomain("d", 8_000)
			.result(8_000, false)
			.build();
		this.dispatcher.submit(job, new PieceListener() {

			@Override
			public void onOutcome(PieceId id, PieceOutcome outcome) {
				SilentWorkerTests.this.received.put(id, outcome);
			}

			@Override
			public void onHandedBack(PieceId id) {
				SilentWorkerTests.this.handedBack.add(id);
			}

		});
		return this.dispatcher.nextCall(0).orElseThrow();
	}

	private static List<PieceOutcome> each(PoolCall call, PieceOutcome outcome) {
		return call.jobs().stream().map((job) -> outcome).toList();
	}

	/** What prevents a second call of the piece, or ends it. */
	private enum Obstacle {

		ALL_SILENT, ALL_DRAINING, OTHER_FAILS, OTHER_BREAKS, OTHER_IS_LATE, OTHER_LACKS_INPUTS, OTHER_HAS_NO_ROOM

	}

	@DataProvider
	Object[][] obstacles() {
		Object[][] rows = new Object[Obstacle.values().length][];
		for (Obstacle obstacle : Obstacle.values()) {
			rows[obstacle.ordinal()] = new Object[] { obstacle };
		}
		return rows;
	}

	// Guards against a piece that fails although a silent worker may still complete it.
	@Test(dataProvider = "obstacles")
	void aPieceIsNotFailedWhileASilentWorkerMayCompleteIt(Obstacle obstacle) {
		PoolCall silent = callSilentWorker();
		this.dispatcher.tick(OVERDUE_MS);
		obstruct(obstacle);
		this.dispatcher.nextCall(DEADLINE_MS);
		this.dispatcher.tick(DEADLINE_MS);
		assertEquals(this.received, Map.of());
		this.dispatcher.onReply(silent.number(), each(silent, PieceOutcome.completed("silent/1")), DEADLINE_MS + 1);
		assertEquals(this.received, Map.of(PIECE, PieceOutcome.completed("silent/1")));
	}

	private void obstruct(Obstacle obstacle) {
		switch (obstacle) {
			case ALL_SILENT -> assertTrue(this.dispatcher.nextCall(OVERDUE_MS).isEmpty());
			case ALL_DRAINING -> setWorkers(worker("silent", true));
			case OTHER_BREAKS -> this.dispatcher.onFailure(callOther().number(), true, OVERDUE_MS + 1);
			case OTHER_FAILS -> endOther(PieceOutcome.Status.FAILED);
			case OTHER_IS_LATE -> endOther(PieceOutcome.Status.LATE);
			case OTHER_LACKS_INPUTS -> endOther(PieceOutcome.Status.INPUT_GONE);
			case OTHER_HAS_NO_ROOM -> endOther(PieceOutcome.Status.NO_ROOM);
		}
	}

	private PoolCall callOther() {
		setWorkers(worker("silent", false), worker("other", false));
		return this.dispatcher.nextCall(OVERDUE_MS).orElseThrow();
	}

	private void endOther(PieceOutcome.Status status) {
		PoolCall other = callOther();
		this.dispatcher.onReply(other.number(), each(other, PieceOutcome.notCompleted(status)), OVERDUE_MS + 1);
	}

	// Guards against a piece that no outcome ends, since its worker stays silent.
	@Test
	void aPieceFailsOnceTheCallOfItsSilentWorkerHasTimedOut() {
		PoolCall silent = callSilentWorker();
		this.dispatcher.tick(OVERDUE_MS);
		this.dispatcher.onFailure(silent.number(), true, DEADLINE_MS);
		this.dispatcher.tick(DEADLINE_MS);
		assertEquals(this.received, Map.of(PIECE, PieceOutcome.notCompleted(PieceOutcome.Status.LATE)));
	}

	// Guards against a stop that takes a piece from a worker which only takes a while,
	// and
	// against one that never hands over the pieces of a silent worker.
	@Test
	void aStoppedDispatcherHandsBackThePiecesOfASilentWorkerLast() {
		PoolCall silent = callSilentWorker();
		this.dispatcher.stop();
		this.dispatcher.tick(OVERDUE_MS);
		assertEquals(this.handedBack, List.of());
		this.dispatcher.handBackRunning();
		assertEquals(this.handedBack, List.of(PIECE));
		List<String> unused = this.dispatcher.onReply(silent.number(), each(silent, PieceOutcome.completed("silent/1")),
				OVERDUE_MS + 1);
		assertEquals(unused, List.of("silent/1"));
		assertEquals(this.received, Map.of());
	}

}
