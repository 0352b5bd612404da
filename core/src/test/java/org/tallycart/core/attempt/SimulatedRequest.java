package org.tallycart.core.attempt;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.tallycart.core.pool.PieceId;
import org.tallycart.core.pool.PieceOutcome;
import org.tallycart.core.serving.Prompt;
import org.tallycart.core.serving.PromptPart;
import org.tallycart.core.upstream.EngineChooser;
import org.tallycart.core.upstream.HedgeTargets;
import org.tallycart.core.upstream.LeastLoadedChooser;
import org.tallycart.core.upstream.PromptCost;
import org.tallycart.core.upstream.UpstreamChoice;
import org.tallycart.core.upstream.UpstreamState;
import org.tallycart.core.upstream.WindowedRetryBudget;

/**
 * A request, which does what the node does on the events of its attempts.
 * <p>
 * Invariants: it ends once, and no attempt of it is alive afterwards; violations are
 * recorded. Not thread-safe.
 */
final class SimulatedRequest {

	/** Number of events of a stream. */
	static final int EVENTS = 12;

	private static final long RESPONSE_MARGIN_MS = 15;

	private static final long MIN_ATTEMPT_MS = 30;

	private static final int MAX_ATTEMPTS = 3;

	private static final int MAX_UNCOUNTED_RETRIES = 3;

	private static final int MAX_STAGE_RESTARTS = 2;

	private final SilentUpstreamsSimulation fleet;

	final SimulatedVm vm;

	final boolean stream;

	final Limits limits;

	private final int id;

	private final long deadlineMs;

	private final long firstEventDeadlineMs;

	final Prompt prompt;

	private final HedgedAttempts<SimulatedAttempt> attempts = new HedgedAttempts<>();

	private final Set<String> tried = new HashSet<>();

	private @Nullable PieceId pending;

	private boolean resultsReleased;

	private int restarts;

	private int attemptCount;

	private int uncountedRetries;

	private boolean holdsRetry;

	private boolean arrivalCounted;

	private boolean mayHaveRun;

	boolean begun;

	private boolean finished;

	// What the caller and the upstreams see.
	int received;

	int ends;

	int openAttempts;

	private boolean reached;

	boolean ran;

	boolean touchedByFailure;

	boolean touchedByRejection;

	@Nullable Outcome outcome;

	long goneAtMs = -1;

	long continuedAtMs = -1;

	boolean sentToGone;

	SimulatedRequest(SilentUpstreamsSimulation fleet, SimulatedVm vm, boolean stream, Limits limits) {
		this.fleet = fleet;
		this.id = fleet.recorder.requests.size();
		this.vm = vm;
		this.stream = stream;
		this.limits = limits;
		this.deadlineMs = now() + limits.timeoutMs();
		this.firstEventDeadlineMs = now() + limits.firstEventMs();
		String session = "s" + this.fleet.random.nextInt(1_000_000);
		this.prompt = new Prompt("m", 800, List.of(new PromptPart("system", 400), new PromptPart(session, 200)));
	}

	@Override
	public String toString() {
		return (this.stream ? "stream " : "plain ") + this.id + " at " + this.vm.name;
	}

	private long now() {
		return this.fleet.clock.nowMs();
	}

	private String service() {
		return this.stream ? SilentUpstreamsSimulation.ENGINE : SilentUpstreamsSimulation.PLAIN;
	}

	private WindowedRetryBudget budget() {
		return this.vm.budgets.get(service());
	}

	void start() {
		this.fleet.clock.after(this.deadlineMs - RESPONSE_MARGIN_MS - now(), this::onDeadline);
		if (this.vm.refusing) {
			stop();
		}
		else if (this.stream) {
			startStage();
		}
		else {
			startAttempt();
		}
	}

	private void startStage() {
		PieceId piece = new PieceId("r" + this.id, 0, 0);
		this.pending = piece;
		long dueMs = this.firstEventDeadlineMs - Math.round(PromptCost.INITIAL.firstTokenMs(this.prompt));
		this.fleet.pool.submit(piece, dueMs, this::onStageOutcome);
	}

	private void onStageOutcome(PieceOutcome stageOutcome) {
		if (this.finished || this.pending == null) {
			return;
		}
		this.pending = null;
		if (stageOutcome.status() == PieceOutcome.Status.MADE) {
			startAttempt();
		}
		else {
			failOrAbandonHedge();
		}
	}

	private void withdrawStage() {
		PieceId piece = this.pending;
		if (piece != null) {
			this.pending = null;
			this.fleet.pool.withdraw(piece);
		}
	}

	private void retry() {
		if (!this.resultsReleased) {
			startAttempt();
		}
		else if (this.restarts < MAX_STAGE_RESTARTS) {
			this.restarts++;
			withdrawStage();
			this.resultsReleased = false;
			startStage();
		}
		else {
			failOrAbandonHedge();
		}
	}

	private void startAttempt() {
		boolean hedge = this.attempts.current().isPresent();
		Optional<UpstreamChoice> choice = hedge
				? choose(HedgeTargets.preferred(hedgeCandidates(), subsequentMs(), now())) : choose(candidates());
		if (this.deadlineMs - now() < MIN_ATTEMPT_MS || choice.isEmpty()) {
			failOrAbandonHedge();
			return;
		}
		send(choice.get(), hedge);
	}

	private void failOrAbandonHedge() {
		if (this.attempts.current().isPresent()) {
			abandonHedge();
		}
		else {
			fail();
		}
	}

	long subsequentMs() {
		return this.stream ? this.limits.subsequentMs() : this.limits.plainMs();
	}

	private List<UpstreamState> candidates() {
		return this.vm.directory.candidates(service(), now());
	}

	private List<UpstreamState> hedgeCandidates() {
		return HedgeTargets.from(candidates(), this.tried, now());
	}

	private Optional<UpstreamChoice> choose(List<UpstreamState> usable) {
		List<UpstreamState> untried = usable.stream()
			.filter((state) -> !this.tried.contains(state.entry().id()))
			.toList();
		List<UpstreamState> from = untried.isEmpty() ? usable : untried;
		return this.stream ? EngineChooser.choose(this.prompt, PromptCost.INITIAL, from, now(), (bound) -> 0)
				: LeastLoadedChooser.choose(from, this.vm.domain, now(), (bound) -> 0);
	}

	private void send(UpstreamChoice choice, boolean hedge) {
		this.tried.add(choice.upstream().entry().id());
		this.attemptCount++;
		if (!this.arrivalCounted) {
			this.arrivalCounted = true;
			budget().onArrival(now());
		}
		if (this.holdsRetry) {
			this.holdsRetry = false;
			budget().onSent(now());
		}
		SimulatedAttempt attempt = new SimulatedAttempt(this.fleet, this, choice.upstream());
		if (hedge && this.vm.isWaitedFor(attempt.upstream)) {
			this.fleet.recorder.violation(this, "a hedge goes to " + attempt.upstream.id + ", which is silent");
		}
		this.attempts.onSent(attempt);
		attempt.send();
	}

	void onReached(String service) {
		SimulatedArrivals counted = this.fleet.recorder.arrivals.get(service);
		(this.reached ? counted.repeatedMs : counted.firstMs).add(now());
		this.reached = true;
	}

	void onSilent(SimulatedAttempt attempt) {
		if (this.fleet.reaction == Reaction.GIVE_UP_FIRST) {
			attempt.cancel();
			onAttemptFailed(attempt, true, false);
			return;
		}
		boolean replacesHedge = isReplaceableHedge(attempt);
		boolean useful = (replacesHedge || this.attempts.mayHedge(attempt)) && isTimeForHedge()
				&& !hedgeCandidates().isEmpty();
		if (useful && tryAcquireRetry()) {
			if (replacesHedge) {
				cancelHedge();
			}
			this.attempts.beginSeeking();
			retry();
		}
	}

	private boolean isReplaceableHedge(SimulatedAttempt attempt) {
		return this.attempts.hedge().filter((hedge) -> hedge == attempt).isPresent() && !this.resultsReleased;
	}

	private boolean isTimeForHedge() {
		long stageMs = this.resultsReleased ? SimulatedStagePool.STAGE_MS : 0;
		return now() + stageMs + MIN_ATTEMPT_MS < this.deadlineMs;
	}

	private boolean tryAcquireRetry() {
		releaseRetry();
		this.holdsRetry = this.attemptCount < MAX_ATTEMPTS && this.deadlineMs - now() >= MIN_ATTEMPT_MS
				&& budget().tryAcquire(this.fleet.vms.size(), now());
		return this.holdsRetry;
	}

	private void releaseRetry() {
		if (this.holdsRetry) {
			this.holdsRetry = false;
			budget().refund();
		}
	}

	void onHeard(SimulatedAttempt attempt) {
		if (this.attempts.isCurrent(attempt)) {
			abandonHedge();
		}
	}

	private void abandonHedge() {
		if (this.attempts.stopSeeking()) {
			releaseRetry();
			if (this.pending != null) {
				withdrawStage();
				this.resultsReleased = true;
			}
		}
		cancelHedge();
	}

	private void cancelHedge() {
		this.attempts.hedge().ifPresent((hedge) -> {
			this.mayHaveRun = true;
			this.attempts.onEnded(hedge);
			hedge.cancel();
		});
	}

	private void replaceOther(SimulatedAttempt answered) {
		this.attempts.onAnswered(answered).ifPresent((other) -> {
			this.mayHaveRun = true;
			other.cancel();
		});
	}

	void onHead(SimulatedAttempt attempt) {
		replaceOther(attempt);
		this.begun = true;
	}

	void onEvent(SimulatedAttempt attempt, int event) {
		if (event != this.received + 1) {
			this.fleet.recorder.violation(this, "event " + event + " follows event " + this.received);
		}
		this.received = event;
		this.resultsReleased = true;
		if (this.goneAtMs >= 0 && this.continuedAtMs < 0 && !attempt.upstream.gone) {
			this.continuedAtMs = now();
		}
		if (event == EVENTS) {
			attempt.end();
			finish(Outcome.WHOLE);
		}
	}

	void onReply(SimulatedAttempt attempt) {
		replaceOther(attempt);
		attempt.end();
		finish(Outcome.WHOLE);
	}

	void onAttemptFailed(SimulatedAttempt attempt, boolean failedAfterStart, boolean notSent) {
		this.mayHaveRun |= failedAfterStart;
		if (notSent) {
			this.attemptCount--;
		}
		this.attempts.onEnded(attempt);
		if (this.attempts.isUnderWay()) {
			if (this.attempts.current().isEmpty()) {
				this.attempts.stopSeeking();
				if (this.pending == null) {
					startAttempt();
				}
			}
			return;
		}
		boolean uncounted = notSent && this.uncountedRetries < MAX_UNCOUNTED_RETRIES;
		if (uncounted) {
			this.uncountedRetries++;
		}
		if (uncounted || tryAcquireRetry()) {
			retry();
		}
		else {
			fail();
		}
	}

	private void onDeadline() {
		if (!this.finished) {
			this.mayHaveRun |= this.attempts.current().isPresent();
			fail();
		}
	}

	void refuseIfNotSent() {
		if (!this.finished && !this.mayHaveRun && this.attempts.current().isEmpty()) {
			stop();
		}
	}

	void stop() {
		if (!this.finished) {
			this.mayHaveRun |= this.attempts.current().isPresent();
			fail();
		}
	}

	private void fail() {
		if (this.begun) {
			finish(Outcome.BROKEN);
		}
		else {
			finish(this.mayHaveRun ? Outcome.ERROR : Outcome.NOT_RUN);
		}
	}

	private void finish(Outcome end) {
		if (this.finished) {
			return;
		}
		this.finished = true;
		releaseRetry();
		this.vm.inFlight.remove(this);
		this.attempts.current().ifPresent(SimulatedAttempt::cancel);
		this.attempts.hedge().ifPresent(SimulatedAttempt::cancel);
		withdrawStage();
		this.ends++;
		this.outcome = end;
		checkEnd(end);
	}

	private void checkEnd(Outcome end) {
		if (this.openAttempts > 0) {
			this.fleet.recorder.violation(this, this.openAttempts + " attempts are alive after the end");
		}
		if (end == Outcome.WHOLE && this.stream && this.received != EVENTS) {
			this.fleet.recorder.violation(this, "ended whole after event " + this.received);
		}
		if (end == Outcome.NOT_RUN && this.ran) {
			this.fleet.recorder.violation(this, "was refused as not run, but ran");
		}
		boolean inTime = now() < this.deadlineMs - RESPONSE_MARGIN_MS;
		if (end == Outcome.BROKEN && inTime && !this.touchedByFailure && !this.vm.stopping) {
			this.fleet.recorder.violation(this, "broke before its deadline, and no upstream has failed");
		}
	}

	/** What a request does when its upstream is silent. */
	enum Reaction {

		/** It seeks a hedge, and the attempt goes on. */
		HEDGE,
		/** It gives the attempt up, and then seeks another one. */
		GIVE_UP_FIRST

	}

	/** How a request ended, as its caller sees it. */
	enum Outcome {

		/** A whole answer. */
		WHOLE,
		/** A refusal which states that the request has not run. */
		NOT_RUN,
		/** An error without such a statement. */
		ERROR,
		/** A stream that is cut off. */
		BROKEN

	}

	/**
	 * Time limits of a request, from the configuration at its arrival.
	 *
	 * @param timeoutMs the time until its deadline
	 * @param firstEventMs the time until the first event of a stream
	 * @param initialMs the silence limit for the first event of a stream
	 * @param subsequentMs the silence limit between two events
	 * @param plainMs the silence limit of a request that is not a stream
	 */
	record Limits(long timeoutMs, long firstEventMs, long initialMs, long subsequentMs, long plainMs) {
	}

}
