package org.tallycart.core.pool.model;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.tallycart.core.pool.PieceId;
import org.tallycart.core.pool.PieceJob;
import org.tallycart.core.pool.PieceListener;
import org.tallycart.core.pool.PieceOutcome;
import org.tallycart.core.pool.StagePlan;
import org.tallycart.core.serving.StageSpec;

/**
 * A request in the model: asks for its pieces as its plan allows, gives results back when
 * they are read, and counts as answered when its engine has begun to answer.
 * <p>
 * Not thread-safe: belongs to one model.
 */
final class SimulatedRequest implements PieceListener {

	/** What a stage usually takes, in milliseconds: a wait for a call, and the call. */
	private static final long STAGE_MS = 400;

	private static final long MESSAGE_MS = 3;

	private final PoolSimulation model;

	private final RequestKind kind;

	private final String id;

	private final long arrivedMs;

	private final StagePlan plan;

	private final Set<PieceId> waiting = new HashSet<>();

	private boolean ended;

	SimulatedRequest(PoolSimulation model, RequestKind kind, String id, long arrivedMs, List<Integer> pieces) {
		this.model = model;
		this.kind = kind;
		this.id = id;
		this.arrivedMs = arrivedMs;
		this.plan = new StagePlan(kind.stages(), pieces);
	}

	void start() {
		this.model.result(this.kind.name()).onAsked();
		this.model.after(this.kind.deadlineMs(), this::end);
		startStages();
	}

	private void startStages() {
		this.plan.startReady().forEach(this::ask);
		if (this.plan.isComplete()) {
			this.model.after(this.kind.engineMs(), this::answer);
		}
	}

	private void ask(int stage) {
		StageSpec spec = this.kind.stages().get(stage);
		long behindMs = this.plan.stagesAfter(stage) * STAGE_MS + this.kind.engineMs();
		long inputBytes = this.plan.inputBytes(stage);
		for (int piece = 0; piece < this.plan.pieceCount(stage); piece++) {
			PieceId piecesId = new PieceId(this.id, stage, piece);
			this.waiting.add(piecesId);
			PieceJob job = PieceJob.builder(piecesId, spec.service())
				.source("k", this.plan.inputs(stage))
				.dueBy(this.arrivedMs + this.kind.objectiveMs() - behindMs,
						this.arrivedMs + this.kind.deadlineMs() - behindMs)
				.priority(this.kind.rank())
				.preferredDomain("d", Math.max(inputBytes, spec.resultBytes()))
				.result(spec.resultBytes(), this.plan.hasReaders(stage))
				.build();
			this.model.after(MESSAGE_MS, () -> askIfWanted(job));
		}
		this.model.after(MESSAGE_MS, this.model.pool(spec.service())::pump);
	}

	private void askIfWanted(PieceJob job) {
		if (this.waiting.contains(job.id())) {
			this.model.pool(job.service()).dispatcher().submit(job, this);
		}
	}

	@Override
	public void onOutcome(PieceId piece, PieceOutcome outcome) {
		this.model.after(MESSAGE_MS, () -> take(piece, outcome));
	}

	private void take(PieceId piece, PieceOutcome outcome) {
		boolean wanted = this.waiting.remove(piece);
		if (!wanted) {
			if (outcome.status() == PieceOutcome.Status.MADE) {
				release(piece.stage(), List.of(outcome.handle()));
			}
			return;
		}
		if (outcome.status() != PieceOutcome.Status.MADE) {
			end();
			return;
		}
		this.plan.onCompleted(piece.stage(), piece.piece(), outcome.handle());
		releaseSpent();
		startStages();
	}

	@Override
	public void onInputsRead(PieceId piece) {
		if (this.model.inputsGivenBackEarly()) {
			this.model.after(MESSAGE_MS, () -> {
				if (this.waiting.contains(piece)) {
					this.plan.onInputsRead(piece.stage(), piece.piece());
					releaseSpent();
				}
			});
		}
	}

	private void releaseSpent() {
		this.plan.takeReleasable().forEach((stage) -> release(stage, this.plan.results(stage)));
	}

	private void release(int stage, List<String> handles) {
		this.model.pool(this.kind.stages().get(stage).service()).release(handles);
	}

	private void answer() {
		if (!this.ended) {
			boolean onTime = this.model.nowMs() <= this.arrivedMs + this.kind.objectiveMs();
			this.model.result(this.kind.name()).onAnswered(onTime);
			end();
		}
	}

	private void end() {
		if (this.ended) {
			return;
		}
		this.ended = true;
		for (PieceId piece : this.waiting) {
			this.model.pool(this.kind.stages().get(piece.stage()).service()).dispatcher().withdraw(piece);
		}
		this.waiting.clear();
		this.plan.takeUnreleased().forEach((stage) -> release(stage, this.plan.results(stage)));
	}

}
