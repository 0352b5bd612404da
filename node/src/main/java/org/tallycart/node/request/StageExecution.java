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
import org.tallycart.core.upstream.EngineChooser;
import org.tallycart.core.upstream.PromptCost;
import org.tallycart.platform.http.PieceCodec;
import org.tallycart.runtime.event.EventCode;

/**
 * The stage work of one request.
 * <p>
 * Invariant: the owner hears once that all pieces are made, or that they cannot be, and
 * nothing after it has dropped the work. Not thread-safe: belongs to the event loop.
 */
final class StageExecution implements PieceListener {

	/** How often all pieces may be made again after an input was gone. */
	private static final int MAX_REMAKES = 2;

	/** What a stage usually takes, in milliseconds: a wait for a call, and the call. */
	private static final long STAGE_MS = 400;

	/** What a stage takes at least, in milliseconds: a call of one piece. */
	private static final long LEAST_STAGE_MS = 200;

	private final ServingContext serving;

	private final RequestPlan plan;

	private final Listener owner;

	private final StagePlan stages;

	private final Set<PieceId> waiting = new HashSet<>();

	private String engineDomain = "";

	private int remakes;

	private boolean dropped;

	StageExecution(ServingContext serving, RequestPlan plan, Listener owner) {
		this.serving = serving;
		this.plan = plan;
		this.owner = owner;
		this.stages = new StagePlan(plan.route().stages(), plan.request().pieceCounts());
	}

	/**
	 * Return by how much the request will probably miss a time, as stage work goes at
	 * present.
	 * @param byMs the time, on the steady clock
	 * @return milliseconds; 0 or less if it will be met
	 */
	long expectedExcessMs(long byMs) {
		long workMs = expectedMs();
		return (workMs > 0) ? this.serving.loop().nowMs() + workMs + engineMs() - byMs : 0;
	}

	/**
	 * Return how long the work will probably take, as it goes at present.
	 * @return milliseconds; 0 where there is none
	 */
	long expectedMs() {
		return this.stages
			.criticalPathMs((stage) -> this.serving.pieces().expectedMs(service(stage), this.plan.rank().sortKey()));
	}

	void start() {
		if (this.engineDomain.isEmpty()) {
			this.engineDomain = findEngineDomain();
		}
		for (int stage : this.stages.startReady()) {
			ask(stage);
		}
		if (this.stages.isComplete()) {
			this.owner.onMade(this.stages.finalHandles());
		}
	}

	private void ask(int stage) {
		StageSpec spec = this.plan.route().stages().get(stage);
		List<String> inputs = this.stages.inputs(stage);
		long inputBytes = this.stages.inputBytes(stage);
		boolean inputsWeigh = inputBytes > spec.resultBytes();
		String domain = inputsWeigh ? domainOf(inputs) : this.engineDomain;
		long resultMoved = this.stages.hasReaders(stage) ? 0 : spec.resultBytes();
		String dispatcher = "";
		for (int piece = 0; piece < this.stages.pieceCount(stage); piece++) {
			PieceId id = new PieceId(this.plan.request().id(), stage, piece);
			this.waiting.add(id);
			PieceJob job = PieceJob.builder(id, spec.service())
				.fingerprint(this.plan.fingerprint())
				.source(this.plan.request().pieceKey(), inputs)
				.dueBy(neededBy(stage), uselessFrom(stage))
				.priority(this.plan.rank().sortKey())
				.preferredDomain(domain, Math.max(inputBytes, resultMoved))
				.result(spec.resultBytes(), this.stages.hasReaders(stage))
				.build();
			dispatcher = this.serving.pieces().ask(job, this);
		}
		this.serving.log()
			.request(EventCode.PIECES_ASKED, this.plan.request().id(), "stage", stage, "pieces",
					this.stages.pieceCount(stage), "service", spec.service(), "domain", domain, "dispatcher",
					dispatcher);
	}

	private String service(int stage) {
		return this.plan.route().stages().get(stage).service();
	}

	// When a stage has to be done for the request to be on time.
	private long neededBy(int stage) {
		return this.plan.objectiveMs() - this.stages.stagesAfter(stage) * STAGE_MS - engineMs();
	}

	// When a stage's results come too late for any answer: the stages behind it and the
	// engine take at least this long.
	private long uselessFrom(int stage) {
		return this.plan.beginsByMs() - this.stages.stagesAfter(stage) * LEAST_STAGE_MS - engineMs();
	}

	private long engineMs() {
		return Math.round(this.plan.request().prompt().map(PromptCost::firstTokenMs).orElse(0.0));
	}

	// Where most of some results are.
	private String domainOf(List<String> handles) {
		Map<String, Integer> counts = new HashMap<>();
		for (String handle : handles) {
			PieceCodec.maker(handle)
				.toJavaOptional()
				.flatMap((maker) -> this.serving.directory().findByAddress(maker))
				.ifPresent((maker) -> counts.merge(maker.entry().failureDomain(), 1, Integer::sum));
		}
		return counts.entrySet()
			.stream()
			.max(Map.Entry.comparingByValue())
			.map(Map.Entry::getKey)
			.orElse(this.engineDomain);
	}

	// Where the engine is that will probably read the last results.
	private String findEngineDomain() {
		long now = this.serving.loop().nowMs();
		return this.plan.request()
			.prompt()
			.flatMap((prompt) -> EngineChooser.choose(prompt, this.serving.candidates(this.plan.service()), now))
			.map((choice) -> choice.upstream().entry().failureDomain())
			.orElse(this.serving.failureDomain());
	}

	@Override
	public void onInputsRead(PieceId id) {
		if (!this.dropped && this.waiting.contains(id)) {
			this.stages.onInputsRead(id.stage(), id.piece());
			releaseSpent();
		}
	}

	private void releaseSpent() {
		this.stages.takeReleasable().forEach((stage) -> release(stage, this.stages.results(stage)));
	}

	@Override
	public void onOutcome(PieceId id, PieceOutcome outcome) {
		boolean wanted = this.waiting.remove(id) && !this.dropped;
		if (outcome.status() == PieceOutcome.Status.MADE) {
			if (wanted) {
				onMade(id, outcome.handle());
			}
			else {
				release(id.stage(), List.of(outcome.handle()));
			}
		}
		else if (wanted) {
			onNotMade(id, outcome);
		}
	}

	private void onMade(PieceId id, String handle) {
		this.stages.onCompleted(id.stage(), id.piece(), handle);
		releaseSpent();
		start();
	}

	private void onNotMade(PieceId id, PieceOutcome outcome) {
		this.serving.log()
			.request(EventCode.PIECE_NOT_MADE, id.requestId(), "stage", id.stage(), "piece", id.piece(), "reason",
					outcome.status());
		boolean again = outcome.status() == PieceOutcome.Status.INPUT_GONE && remake();
		if (!again) {
			this.owner.onNotMade(outcome);
		}
	}

	/**
	 * Make all pieces again, after results that the request needs have gone.
	 * @return whether they are being made; false if that was tried too often
	 */
	boolean remake() {
		if (this.remakes >= MAX_REMAKES) {
			return false;
		}
		this.remakes++;
		withdrawAll();
		giveBack();
		this.stages.reset();
		start();
		return true;
	}

	/** Gives results back that the request has read. */
	void giveBack() {
		this.stages.takeUnreleased().forEach((stage) -> release(stage, this.stages.results(stage)));
	}

	private void release(int stage, List<String> handles) {
		this.serving.pieces().release(service(stage), handles);
	}

	/** Drops all work: pieces that wait are withdrawn, results are given back. */
	void drop() {
		this.dropped = true;
		withdrawAll();
		giveBack();
	}

	private void withdrawAll() {
		for (PieceId id : this.waiting) {
			this.serving.pieces().withdraw(service(id.stage()), id);
		}
		this.waiting.clear();
	}

	/** Hears how the work ended. */
	interface Listener {

		/**
		 * Take note that all pieces are made.
		 * @param inputs handles of the results that the request reads
		 */
		void onMade(List<String> inputs);

		/**
		 * Take note that the pieces cannot be made.
		 * @param outcome why, and when they may be asked for again where that is known
		 */
		void onNotMade(PieceOutcome outcome);

	}

}
