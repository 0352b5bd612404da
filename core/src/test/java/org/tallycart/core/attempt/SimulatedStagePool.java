package org.tallycart.core.attempt;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.tallycart.core.pool.PieceId;
import org.tallycart.core.pool.PieceJob;
import org.tallycart.core.pool.PieceOutcome;
import org.tallycart.core.pool.PoolCall;
import org.tallycart.core.pool.PoolDispatcher;
import org.tallycart.core.serving.PoolSpec;

/**
 * The dispatcher of the stage work, and its workers.
 * <p>
 * Invariant: each call is reported to the dispatcher once, as a reply or as a failure.
 * Not thread-safe.
 */
final class SimulatedStagePool {

	/** Expected duration of the stage work of one stream, in milliseconds. */
	static final long STAGE_MS = 220;

	private static final long STAGE_TICK_MS = 20;

	private static final long STAGE_CALL_TIMEOUT_MS = 6_000;

	private final SilentUpstreamsSimulation fleet;

	private final PoolSpec spec = new PoolSpec(1, 2, 4, STAGE_MS - 20, 20, 10_000_000, 4_000);

	private final PoolDispatcher dispatcher = new PoolDispatcher(this.spec);

	private final Map<String, SimulatedUpstream> workers = new HashMap<>();

	private final Set<Long> openCalls = new HashSet<>();

	SimulatedStagePool(SilentUpstreamsSimulation fleet) {
		this.fleet = fleet;
		this.fleet.stageWorkers.forEach((worker) -> this.workers.put(worker.id, worker));
		this.dispatcher.updateWorkers(this.fleet.stageWorkers.stream().map(SimulatedUpstream::entry).toList(),
				Set.of());
		tick();
	}

	private void tick() {
		this.fleet.clock.after(STAGE_TICK_MS, this::tick);
		this.dispatcher.tick(this.fleet.clock.nowMs());
		startCalls();
	}

	void submit(PieceId id, long dueMs, Consumer<PieceOutcome> listener) {
		this.dispatcher.submit(PieceJob.builder(id, SilentUpstreamsSimulation.STAGE)
			.dueBy(dueMs, dueMs)
			.priority(0)
			.preferredDomain("d0", 8_000)
			.result(8_000, false)
			.build(), (piece, outcome) -> listener.accept(outcome));
		startCalls();
	}

	void withdraw(PieceId id) {
		this.dispatcher.withdraw(id);
	}

	private void startCalls() {
		Optional<PoolCall> next = this.dispatcher.nextCall(this.fleet.clock.nowMs());
		while (next.isPresent()) {
			start(next.get());
			next = this.dispatcher.nextCall(this.fleet.clock.nowMs());
		}
	}

	void start(PoolCall call) {
		this.openCalls.add(call.number());
		SimulatedUpstream worker = this.workers.get(call.worker().id());
		worker.work((long) this.spec.expectedMs(call.jobs().size()),
				() -> this.fleet.clock.after(SimulatedUpstream.LATENCY_MS, () -> onReply(call)));
		this.fleet.clock.after(STAGE_CALL_TIMEOUT_MS, () -> {
			if (this.openCalls.remove(call.number())) {
				this.dispatcher.onFailure(call.number(), true, this.fleet.clock.nowMs());
			}
		});
	}

	void onReply(PoolCall call) {
		if (!this.openCalls.remove(call.number())) {
			return;
		}
		List<PieceOutcome> outcomes = call.jobs()
			.stream()
			.map((job) -> PieceOutcome.completed(call.worker().id() + "/" + job.id()))
			.toList();
		List<String> unused = this.dispatcher.onReply(call.number(), outcomes, this.fleet.clock.nowMs());
		this.dispatcher.release(unused);
		startCalls();
	}

}
