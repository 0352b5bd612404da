package org.tallycart.core.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.tallycart.core.outcome.InvariantViolation;
import org.tallycart.core.serving.PoolSpec;
import org.tallycart.core.serving.UpstreamEntry;
import org.tallycart.core.upstream.UnavailabilityRegistry;

/**
 * Batches the pieces of many requests into calls to the workers of one pool.
 * <p>
 * A call has a fixed cost, so pieces are batched, but they wait for others only while no
 * worker is idle. {@link QueueOrder} sorts the queue and {@link BatchSelector} selects
 * the pieces of a call.
 * <p>
 * Invariants: a worker has no more calls than slots; a pending piece is in the queue or
 * in calls, and its listener receives one outcome unless the piece is withdrawn or handed
 * back; it does not fail while a call that contains it is in progress; no call goes to a
 * worker that is draining, has asked for backoff or is in an evacuated failure domain; a
 * piece is not queued while all workers are draining or in backoff. Not thread-safe.
 *
 * @since 0.1
 */
public final class PoolDispatcher {

	/** Pause of a worker whose result memory is full, in milliseconds. */
	private static final long MEMORY_FULL_PAUSE_MS = 60;

	/**
	 * Retry time stated if all workers are draining, in milliseconds: replacements are
	 * listed within about one heartbeat.
	 */
	private static final long NO_WORKER_RETRY_MS = 1_000;

	/** Maximum number of calls for one piece, the first one included. */
	private static final int MAX_CALLS = 3;

	private final PoolWorkers workers;

	private final CallLimiter callLimiter;

	private final Map<PieceId, PendingPiece> pendingPieces = new HashMap<>();

	private final List<PendingPiece> queue = new ArrayList<>();

	private final RunningCalls calls = new RunningCalls();

	private final ResultMemory resultMemory = new ResultMemory();

	private final WorkspaceShares shares = new WorkspaceShares();

	private final RejectedRequests rejected = new RejectedRequests();

	private final OverloadCounts overloadCounts = new OverloadCounts();

	private PoolSpec spec;

	private long lastCallNumber;

	// The workers of the calls in progress. A worker that was unlisted and listed again
	// has
	// a new state, which the end of an earlier call does not affect.
	private final Map<Long, PoolWorker> workersByCall = new HashMap<>();

	private boolean stopped;

	private boolean workersKnown;

	/**
	 * Create a dispatcher of a pool whose workers accept as many calls as they have
	 * slots.
	 * @param spec the capacity of a worker
	 */
	public PoolDispatcher(PoolSpec spec) {
		this(spec, CallLimiter.NONE);
	}

	/**
	 * Create a dispatcher of a pool whose workers may accept fewer calls than they have
	 * slots.
	 * @param spec the capacity of a worker
	 * @param callLimiter the limiter of calls to workers
	 */
	public PoolDispatcher(PoolSpec spec, CallLimiter callLimiter) {
		this.spec = spec;
		this.callLimiter = callLimiter;
		this.workers = new PoolWorkers(callLimiter);
	}

	/**
	 * Set the capacity of a worker, from a new configuration.
	 * @param newSpec the capacity
	 */
	public void updateSpec(PoolSpec newSpec) {
		this.spec = newSpec;
	}

	/**
	 * Update the workers of the pool. Pieces are queued until the first update.
	 * @param entries the listed workers
	 * @param evacuated the evacuated failure domains, whose workers get no calls
	 */
	public void updateWorkers(List<UpstreamEntry> entries, Set<String> evacuated) {
		this.workersKnown = true;
		this.workers.update(entries);
		this.workers.setEvacuatedDomains(evacuated);
	}

	/**
	 * Submit a piece. If the piece is already pending, only its listener is replaced.
	 * @param job the piece
	 * @param listener receives the outcome
	 */
	public void submit(PieceJob job, PieceListener listener) {
		PendingPiece pending = this.pendingPieces.get(job.id());
		if (pending != null) {
			pending.replaceListener(listener);
			return;
		}
		PendingPiece piece = new PendingPiece(job, listener);
		this.pendingPieces.put(job.id(), piece);
		this.rejected.onSubmitted(piece);
		enqueue(piece);
	}

	/**
	 * Stop scheduling calls. Queued pieces, and those that would have to be retried, are
	 * handed back to their listeners; calls in progress end as usual.
	 */
	public void stop() {
		this.stopped = true;
		new ArrayList<>(this.queue).forEach(this::handBackUnlessRunning);
	}

	private void handBackUnlessRunning(PendingPiece piece) {
		if (piece.isRunning()) {
			this.queue.remove(piece);
		}
		else {
			handBack(piece);
		}
	}

	/**
	 * Hand back the pieces whose calls are in progress as well, since this dispatcher
	 * ends. To be called after {@link #stop()}.
	 */
	public void handBackRunning() {
		for (PendingPiece piece : new ArrayList<>(this.pendingPieces.values())) {
			// The listener of another piece may have withdrawn it.
			if (this.pendingPieces.get(piece.job().id()) != piece) {
				continue;
			}
			if (piece.inputsRead()) {
				complete(piece, PieceOutcome.notCompleted(PieceOutcome.Status.INPUT_GONE));
			}
			else {
				handBack(piece);
			}
		}
	}

	private void handBack(PendingPiece piece) {
		this.pendingPieces.remove(piece.job().id());
		this.queue.remove(piece);
		piece.handBack();
	}

	/** Resume scheduling calls, if no other dispatcher was found. */
	public void resume() {
		this.stopped = false;
	}

	/**
	 * Withdraw a piece. A call that contains it continues, and its result is returned as
	 * unused by {@link #onReply}.
	 * @param id the piece
	 */
	public void withdraw(PieceId id) {
		PendingPiece pending = this.pendingPieces.remove(id);
		if (pending != null) {
			this.queue.remove(pending);
		}
	}

	/**
	 * Schedule the next call, if a worker is idle and pieces are queued.
	 * @param nowMs current time on the monotonic clock, in milliseconds
	 * @return the call, or empty if there is none; to be invoked until it is empty
	 */
	public Optional<PoolCall> nextCall(long nowMs) {
		this.rejected.update(nowMs).forEach(this.overloadCounts::onReturned);
		failExpired(nowMs);
		failWithoutWorkers();
		if (this.queue.isEmpty()) {
			return Optional.empty();
		}
		this.resultMemory.expire(nowMs);
		List<PoolWorker> idleWorkers = this.workers.idleWorkers(this.spec, this.resultMemory, this.queue.size(), nowMs);
		if (idleWorkers.isEmpty()) {
			return Optional.empty();
		}
		BatchSelector selector = new BatchSelector(this.spec, this.workers.acceptingWorkers(nowMs), this.resultMemory,
				idleWorkers.size(), nowMs);
		List<PendingPiece> ordered = queueOrder(nowMs).sort(this.queue);
		for (PoolWorker worker : idleWorkers) {
			List<PendingPiece> selected = selector.select(worker, ordered);
			if (!selected.isEmpty()) {
				return Optional.of(start(worker, selected, nowMs));
			}
		}
		return Optional.empty();
	}

	private QueueOrder queueOrder(long nowMs) {
		return new QueueOrder(this.spec, this.workers.acceptingCount(nowMs), nowMs, this.shares.use(nowMs),
				new CallSchedule(this.spec, this.workers.freeTimesMs(this.spec, nowMs), nowMs));
	}

	private PoolCall start(PoolWorker worker, List<PendingPiece> selected, long nowMs) {
		this.queue.removeAll(selected);
		this.shares.onStarted(selected, nowMs);
		double expectedMs = this.spec.expectedMs(selected.size()) * Math.max(worker.slowdown(), 1);
		worker.onStart(nowMs, expectedMs);
		this.callLimiter.onCall(worker.entry());
		this.lastCallNumber++;
		List<PieceJob> jobs = selected.stream().map(PendingPiece::job).toList();
		selected.forEach((piece) -> piece.onCall(this.lastCallNumber));
		this.resultMemory.reserve(worker.entry().incarnation(), resultBytes(jobs));
		PoolCall call = new PoolCall(this.lastCallNumber, worker.entry(), jobs, nowMs, expectedMs);
		this.calls.add(call, worker.isKnownIdle());
		this.workersByCall.put(call.number(), worker);
		return call;
	}

	private static long resultBytes(List<PieceJob> jobs) {
		return jobs.stream().mapToLong(PieceJob::resultBytes).sum();
	}

	/**
	 * Handle the reply to a call.
	 * @param number the number of the call
	 * @param outcomes one outcome for each piece of the call, in the same order
	 * @param nowMs current time on the monotonic clock, in milliseconds
	 * @return handles of the results whose pieces are no longer pending
	 */
	public List<String> onReply(long number, List<PieceOutcome> outcomes, long nowMs) {
		PoolCall call = end(number);
		Set<PendingPiece> ended = endAtPieces(call);
		InvariantViolation.check(outcomes.size() == call.jobs().size(),
				"the number of outcomes differs from the number of pieces of the call");
		this.workers.find(call.worker()).ifPresent((worker) -> updateWorker(worker, call, outcomes, nowMs));
		List<String> unused = new ArrayList<>();
		for (int i = 0; i < outcomes.size(); i++) {
			PieceJob job = call.jobs().get(i);
			if (outcomes.get(i).status() == PieceOutcome.Status.MADE) {
				this.resultMemory.store(call.worker().incarnation(), outcomes.get(i).handle(), job.resultBytes(),
						nowMs + this.spec.handleTtlMs());
			}
			onOutcome(call, job, outcomes.get(i), ended, unused);
		}
		return unused;
	}

	private void updateWorker(PoolWorker worker, PoolCall call, List<PieceOutcome> outcomes, long nowMs) {
		worker.onAnswer();
		long completed = outcomes.stream().filter((outcome) -> outcome.status() == PieceOutcome.Status.MADE).count();
		if (completed > 0) {
			worker.onCompleted(nowMs - call.startedMs(), this.spec.expectedMs((int) completed));
		}
		if (outcomes.stream().anyMatch((outcome) -> outcome.status() == PieceOutcome.Status.NO_ROOM)) {
			worker.onMemoryFull(nowMs + MEMORY_FULL_PAUSE_MS);
		}
	}

	/**
	 * Record the release of results at their workers.
	 * @param handles the handles of the results
	 */
	public void release(List<String> handles) {
		handles.forEach(this.resultMemory::release);
	}

	private void onOutcome(PoolCall call, PieceJob job, PieceOutcome outcome, Set<PendingPiece> ended,
			List<String> unused) {
		PendingPiece piece = this.pendingPieces.get(job.id());
		if (outcome.status() == PieceOutcome.Status.MADE) {
			if (piece != null) {
				complete(piece, outcome);
			}
			else {
				unused.add(outcome.handle());
			}
			return;
		}
		if (piece == null || !ended.contains(piece)) {
			return;
		}
		switch (outcome.status()) {
			case MADE -> {
				// Handled above.
			}
			case LATE, INPUT_GONE -> failUnlessRunning(piece, outcome);
			case NO_ROOM -> {
				piece.onCallNotStarted();
				enqueue(piece);
			}
			case FAILED, NO_WORKER -> retry(piece, call.worker().incarnation(), outcome);
		}
	}

	// A piece that is also part of a call in progress leaves only the queue.
	private void failUnlessRunning(PendingPiece piece, PieceOutcome outcome) {
		if (piece.isRunning()) {
			this.queue.remove(piece);
		}
		else {
			complete(piece, outcome);
		}
	}

	/**
	 * Handle the failure of a call, or an unusable reply to it.
	 * @param number the number of the call
	 * @param started whether the worker may have started the call
	 * @param nowMs current time on the monotonic clock, in milliseconds
	 */
	public void onFailure(long number, boolean started, long nowMs) {
		PoolCall call = end(number);
		this.workers.find(call.worker()).ifPresent((worker) -> worker.onFailure(nowMs));
		PieceOutcome failed = PieceOutcome.notCompleted(PieceOutcome.Status.FAILED);
		Set<PendingPiece> ended = endAtPieces(call);
		for (PieceJob job : call.jobs()) {
			PendingPiece piece = this.pendingPieces.get(job.id());
			if (piece == null || !ended.contains(piece)) {
				continue;
			}
			if (started) {
				retry(piece, call.worker().incarnation(), failed);
			}
			else {
				piece.onCallNotStarted();
				enqueue(piece);
			}
		}
	}

	// Returns the pending pieces that were part of the call. A piece that was withdrawn
	// and submitted again meanwhile is not.
	private Set<PendingPiece> endAtPieces(PoolCall call) {
		Set<PendingPiece> ended = new HashSet<>();
		for (PieceJob job : call.jobs()) {
			PendingPiece piece = this.pendingPieces.get(job.id());
			if (piece != null && piece.onCallEnded(call.number())) {
				ended.add(piece);
			}
		}
		return ended;
	}

	private PoolCall end(long number) {
		PoolCall call = this.calls.end(number);
		this.resultMemory.unreserve(call.worker().incarnation(), resultBytes(call.jobs()));
		InvariantViolation.requirePresent(this.workersByCall.remove(number), "the call has no worker").onEnd();
		return call;
	}

	private void retry(PendingPiece piece, String failedAt, PieceOutcome outcome) {
		piece.recordFailureAt(failedAt);
		if (piece.isRunning()) {
			return;
		}
		if (piece.inputsRead()) {
			complete(piece, PieceOutcome.notCompleted(PieceOutcome.Status.INPUT_GONE));
			return;
		}
		if (piece.attempts() >= MAX_CALLS) {
			complete(piece, outcome);
			return;
		}
		piece.clearFailuresIfAll(this.workers.incarnations());
		enqueue(piece);
	}

	private void enqueue(PendingPiece piece) {
		if (this.stopped) {
			handBackUnlessRunning(piece);
		}
		else if (!this.queue.contains(piece)) {
			this.queue.add(piece);
		}
	}

	private void complete(PendingPiece piece, PieceOutcome outcome) {
		this.pendingPieces.remove(piece.job().id());
		this.queue.remove(piece);
		piece.complete(outcome);
	}

	/**
	 * Fail queued pieces that cannot meet their deadline, shed excess late work, report
	 * inputs that have been read, and queue the pieces of overdue calls again for another
	 * worker.
	 * @param nowMs current time on the monotonic clock, in milliseconds
	 */
	public void tick(long nowMs) {
		this.rejected.update(nowMs).forEach(this.overloadCounts::onReturned);
		failExpired(nowMs);
		shedExcess(nowMs);
		for (PoolCall call : this.calls.takeInputsRead(nowMs)) {
			call.jobs().stream().filter(PieceJob::hasLargeInputs).forEach((job) -> onInputsRead(call, job));
		}
		this.calls.takeOverdue(nowMs).forEach((call) -> onOverdue(call, nowMs - call.startedMs()));
	}

	private void onInputsRead(PoolCall call, PieceJob job) {
		PendingPiece piece = this.pendingPieces.get(job.id());
		if (piece != null && piece.isPartOf(call.number())) {
			piece.onInputsRead();
		}
	}

	// A piece that would fail in the end is failed at once, so that the caller can retry
	// when the pool has capacity.
	private void shedExcess(long nowMs) {
		QueueOrder order = queueOrder(nowMs);
		List<PendingPiece> deferred = order.deferred(this.queue);
		deferred.forEach(this.overloadCounts::onDeferred);
		List<PendingPiece> excess = order.findExcess(this.queue, deferred);
		excess.forEach(this.overloadCounts::onShed);
		reject(excess, nowMs);
	}

	private void reject(List<PendingPiece> pieces, long nowMs) {
		if (pieces.isEmpty()) {
			return;
		}
		Set<PendingPiece> leaving = new HashSet<>(pieces);
		QueueDrain drain = new QueueDrain(this.spec, this.workers.acceptingCount(nowMs),
				this.queue.stream().filter((piece) -> !leaving.contains(piece)).toList());
		for (PendingPiece piece : pieces) {
			if (piece.isRunning()) {
				this.queue.remove(piece);
			}
			else {
				complete(piece, PieceOutcome.late(this.rejected.reject(piece.job(), drain, nowMs)));
			}
		}
	}

	// Pieces queued until a backoff ends would all start at the same moment, and some
	// would have missed their deadline by then.
	private void failWithoutWorkers() {
		if (this.queue.isEmpty() || !this.workersKnown) {
			return;
		}
		long acceptsInMs = this.workers.acceptsInMs();
		if (acceptsInMs > 0) {
			long retryMs = (acceptsInMs == UnavailabilityRegistry.NEVER) ? NO_WORKER_RETRY_MS : acceptsInMs;
			new ArrayList<>(this.queue).forEach((piece) -> failUnlessRunning(piece, PieceOutcome.noWorker(retryMs)));
		}
	}

	private void failExpired(long nowMs) {
		double shortestMs = this.spec.expectedMs(1);
		List<PendingPiece> expired = this.queue.stream()
			.filter((piece) -> nowMs + shortestMs > piece.job().deadlineMs())
			.toList();
		expired.forEach(this.overloadCounts::onExpired);
		reject(expired, nowMs);
	}

	private void onOverdue(PoolCall call, double elapsedMs) {
		this.workers.find(call.worker())
			.ifPresent((worker) -> worker.onOverdue(elapsedMs, this.spec.expectedMs(call.jobs().size())));
		for (PieceJob job : call.jobs()) {
			PendingPiece piece = this.pendingPieces.get(job.id());
			if (piece != null && piece.isPartOf(call.number()) && !piece.inputsRead() && piece.attempts() < MAX_CALLS) {
				piece.recordFailureAt(call.worker().incarnation());
				enqueue(piece);
			}
		}
	}

	/**
	 * Return the load of the pool.
	 * @param service the name of the pool
	 * @param nowMs current time on the monotonic clock, in milliseconds
	 * @return the load
	 */
	public PoolLoad load(String service, long nowMs) {
		int nextPieces = Math.min(this.queue.size() + 1, this.spec.batch());
		return new PoolLoad(service, Math.round(this.spec.expectedMs(nextPieces)), loadOrder(nowMs).load(this.queue));
	}

	// A load is used for up to a second, in which workers that pause for a moment take
	// calls again.
	private QueueOrder loadOrder(long nowMs) {
		int serving = this.workers.servingCount();
		if (this.workers.acceptingCount(nowMs) == 0) {
			return new QueueOrder(this.spec, serving, nowMs);
		}
		return new QueueOrder(this.spec, serving, nowMs, this.shares.use(nowMs),
				new CallSchedule(this.spec, this.workers.freeTimesMs(this.spec, nowMs), nowMs));
	}

	/**
	 * Return what overload did to the requests of each workspace since the last call.
	 * @param nowMs current time on the monotonic clock, in milliseconds
	 * @return the workspaces that used the pool recently or whose requests were deferred,
	 * shed, expired or returned, by name
	 */
	public Map<String, WorkspaceOverload> takeOverload(long nowMs) {
		return this.overloadCounts.take(this.shares.use(nowMs));
	}

	/**
	 * Return the number of queued pieces.
	 * @return the number of pieces in the queue
	 */
	public int queueSize() {
		return this.queue.size();
	}

	/**
	 * Return the number of calls in progress.
	 * @return the number of calls
	 */
	public int callsInProgress() {
		return this.calls.count();
	}

}
