package org.tallycart.node.request;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.tallycart.core.pool.PieceId;
import org.tallycart.core.pool.PieceJob;
import org.tallycart.core.pool.PieceListener;
import org.tallycart.core.pool.PieceOutcome;
import org.tallycart.core.pool.StagePlan;
import org.tallycart.core.serving.StageSpec;
import org.tallycart.core.serving.Workspace;
import org.tallycart.core.upstream.EngineChooser;
import org.tallycart.core.upstream.PromptCost;
import org.tallycart.platform.http.PieceCodec;
import org.tallycart.runtime.event.EventCode;

/**
 * Execution of the stages of one request.
 * <p>
 * Invariant: for each start and restart, the listener gets one callback, when all pieces
 * are completed or one has failed, and none after {@link #cancel()}. Not thread-safe:
 * confined to the event loop.
 */
final class StageExecution implements PieceListener {

	/** Limit of restarts after stage results were lost. */
	private static final int MAX_RESTARTS = 2;

	/** Least duration of a stage, in milliseconds: a call with one piece. */
	private static final long MIN_STAGE_MS = 200;

	private final ServingContext context;

	private final RequestPlan plan;

	private final CandidateUpstreams candidates;

	private final Listener listener;

	private final StagePlan stages;

	private final Set<PieceId> pending = new HashSet<>();

	private String engineDomain = "";

	private int restarts;

	private boolean finalResultsReleased;

	private boolean cancelled;

	StageExecution(ServingContext context, RequestPlan plan, CandidateUpstreams candidates, Listener listener) {
		this.context = context;
		this.plan = plan;
		this.candidates = candidates;
		this.listener = listener;
		this.stages = new StagePlan(plan.route().stages(), plan.request().pieceCounts());
	}

	/**
	 * Estimate by how much the request will miss a time, from the current latency of its
	 * stages.
	 * @param timeMs the time, on the monotonic clock
	 * @return milliseconds; 0 or less if the time will be met
	 */
	long expectedLatenessMs(long timeMs) {
		long stagesMs = expectedMs();
		return (stagesMs > 0) ? this.context.loop().nowMs() + stagesMs + firstTokenMs() - timeMs : 0;
	}

	/**
	 * Estimate how long all stages take, from their current latency.
	 * @return milliseconds; 0 if the request has no stages
	 */
	long expectedMs() {
		return this.stages.criticalPathMs(
				(stage) -> this.context.pieces().expectedMs(service(stage), this.plan.priority().sortKey()));
	}

	/**
	 * Return the late work that is at least as urgent as the request, of the pool of its
	 * stages that has most of it.
	 * @return milliseconds of all workers' time; 0 if there is none or it is not known
	 */
	long lateWorkMs() {
		long mostMs = 0;
		for (int stage = 0; stage < this.plan.route().stages().size(); stage++) {
			if (this.stages.pieceCount(stage) > 0) {
				mostMs = Math.max(mostMs,
						this.context.pieces().lateMs(service(stage), this.plan.priority().sortKey(), workspace()));
			}
		}
		return mostMs;
	}

	void start() {
		if (this.engineDomain.isEmpty()) {
			this.engineDomain = predictEngineDomain();
		}
		for (int stage : this.stages.startReady()) {
			submit(stage);
		}
		if (this.stages.isComplete()) {
			this.listener.onStagesCompleted(this.stages.finalHandles());
		}
	}

	private void submit(int stage) {
		StageSpec spec = this.plan.route().stages().get(stage);
		List<String> inputs = this.stages.inputs(stage);
		long inputBytes = this.stages.inputBytes(stage);
		boolean inputsDominate = inputBytes > spec.resultBytes();
		String domain = inputsDominate ? majorityDomain(inputs) : this.engineDomain;
		long crossDomainResultBytes = this.stages.hasReaders(stage) ? 0 : spec.resultBytes();
		long objectiveMs = objectiveMs(stage);
		String dispatcher = "";
		for (int piece = 0; piece < this.stages.pieceCount(stage); piece++) {
			PieceId id = new PieceId(this.plan.request().id(), stage, piece);
			this.pending.add(id);
			PieceJob job = PieceJob.builder(id, spec.service())
				.fingerprint(this.plan.content().request())
				.source(this.plan.request().pieceKey(), inputs)
				.dueBy(objectiveMs, deadlineMs(stage))
				.priority(this.plan.priority().sortKey())
				.preferredDomain(domain, Math.max(inputBytes, crossDomainResultBytes))
				.result(spec.resultBytes(), this.stages.hasReaders(stage))
				.workspace(workspace())
				.build();
			dispatcher = this.context.pieces().submit(job, this);
		}
		this.context.log()
			.request(EventCode.PIECES_ASKED, this.plan.request().id(), "stage", stage, "pieces",
					this.stages.pieceCount(stage), "service", spec.service(), "domain", domain, "dispatcher",
					dispatcher);
	}

	private String workspace() {
		return this.plan.workspace().map(Workspace::name).orElse("");
	}

	private String service(int stage) {
		return this.plan.route().stages().get(stage).service();
	}

	// Time by which a stage has to be completed for the request to meet its objective.
	private long objectiveMs(int stage) {
		long laterStagesMs = this.stages.longestPathAfterMs(stage,
				(later) -> this.context.pieces().laterStageMs(service(later), this.plan.priority().sortKey()));
		return this.plan.objectiveMs() - laterStagesMs - firstTokenMs();
	}

	// Time after which a stage's results are useless, given the least duration of the
	// stages after it and of the engine.
	private long deadlineMs(int stage) {
		return this.plan.firstEventDeadlineMs() - this.stages.stagesAfter(stage) * MIN_STAGE_MS - firstTokenMs();
	}

	private long firstTokenMs() {
		return Math.round(this.plan.request().prompt().map(promptCost()::firstTokenMs).orElse(0.0));
	}

	private PromptCost promptCost() {
		return this.context.readingSpeeds().cost(this.plan.service());
	}

	// Failure domain that holds most of the given results.
	private String majorityDomain(List<String> handles) {
		Map<String, Integer> counts = new HashMap<>();
		for (String handle : handles) {
			PieceCodec.workerAddress(handle)
				.toJavaOptional()
				.flatMap((worker) -> this.context.directory().findByAddress(worker))
				.ifPresent((worker) -> counts.merge(worker.entry().failureDomain(), 1, Integer::sum));
		}
		return counts.entrySet()
			.stream()
			.max(Map.Entry.comparingByValue())
			.map(Map.Entry::getKey)
			.orElse(this.engineDomain);
	}

	// Failure domain of the engine that will probably read the final results.
	private String predictEngineDomain() {
		long now = this.context.loop().nowMs();
		return this.plan.request()
			.prompt()
			.flatMap((prompt) -> EngineChooser.choose(prompt, promptCost(), this.candidates.now(), now,
					this.context.random()))
			.map((choice) -> choice.upstream().entry().failureDomain())
			.orElse(this.context.failureDomain());
	}

	@Override
	public void onInputsRead(PieceId id) {
		if (!this.cancelled && this.pending.contains(id)) {
			this.stages.onInputsRead(id.stage(), id.piece());
			releaseReadResults();
		}
	}

	private void releaseReadResults() {
		this.stages.takeReleasable().forEach((stage) -> release(stage, this.stages.results(stage)));
	}

	@Override
	public void onOutcome(PieceId id, PieceOutcome outcome) {
		boolean expected = this.pending.remove(id) && !this.cancelled;
		if (outcome.status() == PieceOutcome.Status.MADE) {
			if (expected) {
				onCompleted(id, outcome.handle());
			}
			else {
				release(id.stage(), List.of(outcome.handle()));
			}
		}
		else if (expected) {
			onFailed(id, outcome);
		}
	}

	private void onCompleted(PieceId id, String handle) {
		this.stages.onCompleted(id.stage(), id.piece(), handle);
		releaseReadResults();
		start();
	}

	private void onFailed(PieceId id, PieceOutcome outcome) {
		this.context.log()
			.request(EventCode.PIECE_NOT_MADE, id.requestId(), "stage", id.stage(), "piece", id.piece(), "reason",
					outcome.status());
		boolean restarted = outcome.status() == PieceOutcome.Status.INPUT_GONE && restart();
		if (!restarted) {
			this.listener.onStagesFailed(outcome);
		}
	}

	/**
	 * Restart all stages after results that the request needs were lost.
	 * @return whether they were restarted; false once the limit is reached
	 */
	boolean restart() {
		if (this.restarts >= MAX_RESTARTS) {
			return false;
		}
		this.restarts++;
		withdrawAll();
		releaseResults();
		this.stages.reset();
		this.finalResultsReleased = false;
		start();
		return true;
	}

	/**
	 * Return whether results are missing that were requested.
	 * @return true while pieces are pending
	 */
	boolean isInProgress() {
		return !this.pending.isEmpty();
	}

	/**
	 * Stop the stages and release all results, so that another attempt needs a restart.
	 */
	void discard() {
		withdrawAll();
		releaseResults();
		this.finalResultsReleased = true;
	}

	/**
	 * Return whether results that the request reads have been released.
	 * @return true if the stages have to be restarted before another attempt
	 */
	boolean hasReleasedResults() {
		return this.finalResultsReleased;
	}

	/** Release all results that have not been released yet. */
	void releaseResults() {
		for (int stage : this.stages.takeUnreleased()) {
			List<String> results = this.stages.results(stage);
			this.finalResultsReleased |= !results.isEmpty() && !this.stages.hasReaders(stage);
			release(stage, results);
		}
	}

	private void release(int stage, List<String> handles) {
		this.context.pieces().release(service(stage), handles);
	}

	/** Cancel all stages: withdraw pending pieces and release results. */
	void cancel() {
		this.cancelled = true;
		withdrawAll();
		releaseResults();
	}

	private void withdrawAll() {
		for (PieceId id : this.pending) {
			this.context.pieces().withdraw(service(id.stage()), id);
		}
		this.pending.clear();
	}

	/** Callbacks of the stages. */
	interface Listener {

		/**
		 * Handle the completion of all stages.
		 * @param inputs handles of the results that the request reads
		 */
		void onStagesCompleted(List<String> inputs);

		/**
		 * Handle the failure of a stage.
		 * @param outcome the outcome of the piece that failed
		 */
		void onStagesFailed(PieceOutcome outcome);

	}

}
