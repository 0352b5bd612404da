package org.tallycart.core.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.tallycart.core.outcome.InvariantViolation;
import org.tallycart.core.serving.PoolSpec;
import org.tallycart.core.serving.UpstreamEntry;
import org.tallycart.core.upstream.UnavailabilityRegistry;

/**
 * Puts the pieces of many requests into calls of one pool's workers.
 * <p>
 * A call costs a fixed time whatever it holds, so pieces wait for company, but only while
 * no worker is idle. {@link QueueOrder} tells which come first, {@link BatchSelector}
 * which go together.
 * <p>
 * Invariants: no worker has more calls than slots; a piece is in the queue or in calls,
 * and each asker hears one outcome unless it withdraws; no worker gets a call that leaves
 * or rests, or whose failure domain is evacuated; a piece does not wait while all do. Not
 * thread-safe.
 *
 * @since 0.1
 */
public final class PoolDispatcher {

	/** How long a worker without room for results gets no pieces, in milliseconds. */
	private static final long NO_ROOM_PAUSE_MS = 60;

	/**
	 * When a piece may be asked for again where all workers leave, in milliseconds:
	 * others that take their place are listed within about a heartbeat.
	 */
	private static final long NO_WORKER_RETRY_MS = 1_000;

	/** Calls that may be tried for one piece: the first, and two more after failures. */
	private static final int MAX_CALLS = 3;

	private final PoolWorkers workers;

	private final CallLimiter limit;

	private final Map<PieceId, PendingPiece> pieces = new HashMap<>();

	private final List<PendingPiece> queue = new ArrayList<>();

	private final RunningCalls calls = new RunningCalls();

	private final ResultMemory room = new ResultMemory();

	private PoolSpec spec;

	private long lastCall;

	private boolean stopped;

	private boolean workersKnown;

	/**
	 * Create a dispatcher.
	 * @param spec what a worker can do
	 */
	public PoolDispatcher(PoolSpec spec) {
		this(spec, CallLimiter.NONE);
	}

	/**
	 * Create a dispatcher of a pool whose workers may take fewer calls than they have
	 * slots for.
	 * @param spec what a worker can do
	 * @param limit tells when a worker takes another call
	 */
	public PoolDispatcher(PoolSpec spec, CallLimiter limit) {
		this.spec = spec;
		this.limit = limit;
		this.workers = new PoolWorkers(limit);
	}

	/**
	 * Take what a worker can do, from a new configuration.
	 * @param fresh what it can do
	 */
	public void updateSpec(PoolSpec fresh) {
		this.spec = fresh;
	}

	/**
	 * Take the workers that exist now. Before that is known pieces wait.
	 * @param entries the workers
	 * @param evacuated failure domains whose workers get no calls
	 */
	public void updateWorkers(List<UpstreamEntry> entries, Set<String> evacuated) {
		this.workersKnown = true;
		this.workers.update(entries);
		this.workers.close(evacuated);
	}

	/**
	 * Ask for a piece. A second ask for a piece replaces the first one's asker.
	 * @param job the piece
	 * @param asker hears its outcome
	 */
	public void submit(PieceJob job, PieceListener asker) {
		PendingPiece known = this.pieces.get(job.id());
		if (known != null) {
			known.replaceAsker(asker);
			return;
		}
		PendingPiece waiting = new PendingPiece(job, asker);
		this.pieces.put(job.id(), waiting);
		enqueue(waiting);
	}

	/**
	 * Begin no call any more. Pieces that wait, and those that would have to be tried
	 * again, are handed back to their askers; calls in progress end as usual.
	 */
	public void stop() {
		this.stopped = true;
		new ArrayList<>(this.queue).forEach(this::handBack);
	}

	private void handBack(PendingPiece waiting) {
		this.pieces.remove(waiting.job().id());
		this.queue.remove(waiting);
		waiting.handBack();
	}

	/** Begin calls again, where no other dispatcher could be found. */
	public void resume() {
		this.stopped = false;
	}

	/**
	 * Withdraw a piece. A call that holds it goes on; its result is given back as unused.
	 * @param id the piece
	 */
	public void withdraw(PieceId id) {
		PendingPiece known = this.pieces.remove(id);
		if (known != null) {
			this.queue.remove(known);
		}
	}

	/**
	 * Choose the next call to make, if a worker is idle and pieces wait.
	 * @param nowMs the steady clock
	 * @return the call; ask again until there is none
	 */
	public Optional<PoolCall> nextCall(long nowMs) {
		giveUpLate(nowMs);
		giveUpWithoutWorkers();
		if (this.queue.isEmpty()) {
			return Optional.empty();
		}
		this.room.expire(nowMs);
		List<PoolWorker> idle = this.workers.idle(this.spec, this.room, this.queue.size(), nowMs);
		if (idle.isEmpty()) {
			return Optional.empty();
		}
		BatchSelector chooser = new BatchSelector(this.spec, this.workers.callable(nowMs), this.room, idle.size(),
				nowMs);
		List<PendingPiece> ordered = order(nowMs).of(this.queue);
		for (PoolWorker worker : idle) {
			List<PendingPiece> chosen = chooser.choose(worker, ordered);
			if (!chosen.isEmpty()) {
				return Optional.of(start(worker, chosen, nowMs));
			}
		}
		return Optional.empty();
	}

	private QueueOrder order(long nowMs) {
		return new QueueOrder(this.spec, this.workers.available(nowMs), nowMs);
	}

	private PoolCall start(PoolWorker worker, List<PendingPiece> chosen, long nowMs) {
		this.queue.removeAll(chosen);
		double expectedMs = this.spec.expectedMs(chosen.size()) * Math.max(worker.pace(), 1);
		worker.onStart(nowMs, expectedMs);
		this.limit.onCall(worker.entry());
		this.lastCall++;
		List<PieceJob> jobs = chosen.stream().map(PendingPiece::job).toList();
		chosen.forEach(PendingPiece::onCall);
		this.room.reserve(worker.entry().incarnation(), resultBytes(jobs));
		PoolCall call = new PoolCall(this.lastCall, worker.entry(), jobs, nowMs, expectedMs);
		this.calls.add(call, worker.idleForSure());
		return call;
	}

	private static long resultBytes(List<PieceJob> jobs) {
		return jobs.stream().mapToLong(PieceJob::resultBytes).sum();
	}

	/**
	 * Take the outcomes of a call.
	 * @param number the call
	 * @param outcomes one for each of its pieces, in their order
	 * @param nowMs the steady clock
	 * @return handles of results that nobody waits for any more
	 */
	public List<String> onAnswer(long number, List<PieceOutcome> outcomes, long nowMs) {
		PoolCall call = end(number);
		InvariantViolation.check(outcomes.size() == call.jobs().size(), "a call's outcomes do not match its pieces");
		this.workers.find(call.worker()).ifPresent((worker) -> learn(worker, call, outcomes, nowMs));
		List<String> unused = new ArrayList<>();
		for (int i = 0; i < outcomes.size(); i++) {
			PieceJob job = call.jobs().get(i);
			if (outcomes.get(i).status() == PieceOutcome.Status.MADE) {
				this.room.hold(call.worker().incarnation(), outcomes.get(i).handle(), job.resultBytes(),
						nowMs + this.spec.handleTtlMs());
			}
			onOutcome(call, job, outcomes.get(i), unused);
		}
		return unused;
	}

	private void learn(PoolWorker worker, PoolCall call, List<PieceOutcome> outcomes, long nowMs) {
		worker.onAnswer();
		long worked = outcomes.stream().filter((outcome) -> outcome.status() == PieceOutcome.Status.MADE).count();
		if (worked > 0) {
			worker.onDone(nowMs - call.startedMs(), this.spec.expectedMs((int) worked));
		}
		if (outcomes.stream().anyMatch((outcome) -> outcome.status() == PieceOutcome.Status.NO_ROOM)) {
			worker.onNoRoom(nowMs + NO_ROOM_PAUSE_MS);
		}
	}

	/**
	 * Take note that results are given back to their makers.
	 * @param handles the results
	 */
	public void release(List<String> handles) {
		handles.forEach(this.room::release);
	}

	private void onOutcome(PoolCall call, PieceJob job, PieceOutcome outcome, List<String> unused) {
		PendingPiece waiting = this.pieces.get(job.id());
		if (waiting == null) {
			if (outcome.status() == PieceOutcome.Status.MADE) {
				unused.add(outcome.handle());
			}
			return;
		}
		switch (outcome.status()) {
			case MADE, LATE, INPUT_GONE -> settle(waiting, outcome);
			case NO_ROOM -> {
				waiting.onNoCall();
				enqueue(waiting);
			}
			case FAILED, NO_WORKER -> tryAgain(waiting, call.worker().incarnation(), outcome);
		}
	}

	/**
	 * Take note that a call has no usable answer.
	 * @param number the call
	 * @param begun whether the worker may have begun it
	 * @param nowMs the steady clock
	 */
	public void onFailure(long number, boolean begun, long nowMs) {
		PoolCall call = end(number);
		this.workers.find(call.worker()).ifPresent((worker) -> worker.onFailed(nowMs));
		PieceOutcome failed = PieceOutcome.notCompleted(PieceOutcome.Status.FAILED);
		for (PieceJob job : call.jobs()) {
			PendingPiece waiting = this.pieces.get(job.id());
			if (waiting != null && begun) {
				tryAgain(waiting, call.worker().incarnation(), failed);
			}
			else if (waiting != null) {
				waiting.onNoCall();
				enqueue(waiting);
			}
		}
	}

	private PoolCall end(long number) {
		PoolCall call = this.calls.end(number);
		this.room.unreserve(call.worker().incarnation(), resultBytes(call.jobs()));
		this.workers.find(call.worker()).ifPresent(PoolWorker::onEnd);
		return call;
	}

	private void tryAgain(PendingPiece waiting, String failedAt, PieceOutcome outcome) {
		if (waiting.inputsRead()) {
			settle(waiting, PieceOutcome.notCompleted(PieceOutcome.Status.INPUT_GONE));
			return;
		}
		waiting.onFailedAt(failedAt);
		if (waiting.calls() >= MAX_CALLS) {
			settle(waiting, outcome);
			return;
		}
		waiting.forgetFailuresIfAll(this.workers.ids());
		enqueue(waiting);
	}

	private void enqueue(PendingPiece waiting) {
		if (this.stopped) {
			handBack(waiting);
		}
		else if (!this.queue.contains(waiting)) {
			this.queue.add(waiting);
		}
	}

	private void settle(PendingPiece waiting, PieceOutcome outcome) {
		this.pieces.remove(waiting.job().id());
		this.queue.remove(waiting);
		waiting.settle(outcome);
	}

	/**
	 * Give up waiting pieces that cannot be ready in time, and put the pieces of overdue
	 * calls back into the queue, so that another worker makes them.
	 * @param nowMs the steady clock
	 */
	public void tick(long nowMs) {
		giveUpLate(nowMs);
		giveUpTooMuch(nowMs);
		for (PoolCall call : this.calls.takeRead(nowMs)) {
			call.jobs().stream().filter(PieceJob::inputsHoldRoom).forEach(this::onInputsRead);
		}
		this.calls.takeOverdue(nowMs).forEach((call) -> onOverdue(call, nowMs - call.startedMs()));
	}

	private void onInputsRead(PieceJob job) {
		PendingPiece waiting = this.pieces.get(job.id());
		if (waiting != null) {
			waiting.onInputsRead();
		}
	}

	// Refused now, a caller may come again when there is room; held, it would be refused
	// in the end.
	private void giveUpTooMuch(long nowMs) {
		PieceOutcome late = PieceOutcome.notCompleted(PieceOutcome.Status.LATE);
		order(nowMs).tooMuch(this.queue).forEach((waiting) -> settle(waiting, late));
	}

	// Held until a rest ends, all callers would come at the same moment, and those whose
	// time is over by then would have waited for nothing.
	private void giveUpWithoutWorkers() {
		if (this.queue.isEmpty() || !this.workersKnown) {
			return;
		}
		long acceptsInMs = this.workers.acceptsInMs();
		if (acceptsInMs > 0) {
			long retryMs = (acceptsInMs == UnavailabilityRegistry.NEVER) ? NO_WORKER_RETRY_MS : acceptsInMs;
			new ArrayList<>(this.queue).forEach((waiting) -> settle(waiting, PieceOutcome.noWorker(retryMs)));
		}
	}

	private void giveUpLate(long nowMs) {
		PieceOutcome late = PieceOutcome.notCompleted(PieceOutcome.Status.LATE);
		double shortestMs = this.spec.expectedMs(1);
		for (PendingPiece waiting : new ArrayList<>(this.queue)) {
			if (nowMs + shortestMs > waiting.job().deadlineMs()) {
				settle(waiting, late);
			}
		}
	}

	private void onOverdue(PoolCall call, double tookMs) {
		this.workers.find(call.worker())
			.ifPresent((worker) -> worker.onOverdue(tookMs, this.spec.expectedMs(call.jobs().size())));
		for (PieceJob job : call.jobs()) {
			PendingPiece waiting = this.pieces.get(job.id());
			if (waiting != null && waiting.inputsRead()) {
				settle(waiting, PieceOutcome.notCompleted(PieceOutcome.Status.INPUT_GONE));
			}
			else if (waiting != null && waiting.calls() < MAX_CALLS) {
				waiting.onFailedAt(call.worker().incarnation());
				enqueue(waiting);
			}
		}
	}

	/**
	 * Return how many pieces wait for a call.
	 * @return the count
	 */
	public int queueSize() {
		return this.queue.size();
	}

	/**
	 * Return how many calls are in progress.
	 * @return the count
	 */
	public int callsInProgress() {
		return this.calls.count();
	}

}
