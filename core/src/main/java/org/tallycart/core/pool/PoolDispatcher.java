package org.tallycart.core.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.tallycart.core.outcome.InvariantViolation;
import org.tallycart.core.serving.PoolSpec;
import org.tallycart.core.serving.UpstreamEntry;

/**
 * Puts the pieces of many requests into calls of one pool's workers.
 * <p>
 * A call costs a fixed time whatever it holds, so pieces wait for company, but only while
 * no worker is idle. Order: pieces that can still be on time first, then rank, then the
 * time they are needed by. A large result is made in the failure domain where it is
 * wanted, unless that makes it late.
 * <p>
 * Invariants: no worker has more calls than slots; a piece is in the queue or in calls,
 * and each asker hears one outcome unless it withdraws; no draining worker gets a call.
 * Not thread-safe.
 *
 * @since 0.1
 */
public final class PoolDispatcher {

	/**
	 * A result of this size is worth keeping in its failure domain; smaller ones cost
	 * nothing.
	 */
	private static final long LARGE_RESULT_BYTES = 200_000;

	/** A call is overdue after this many times its expected length, plus a margin. */
	private static final double OVERDUE_FACTOR = 1.8;

	/** Margin for the network and for pieces that take longer than the average. */
	private static final double OVERDUE_MARGIN_MS = 120;

	/** Calls that may be tried for one piece: the first, and two more after failures. */
	private static final int MAX_CALLS = 3;

	/**
	 * What a request still needs after its last piece, in milliseconds: reading its
	 * prompt.
	 */
	private static final long AFTER_PIECES_MS = 300;

	/**
	 * A worker this many times slower than the fastest gets no call while others are
	 * idle.
	 */
	private static final double SLOW_PACE = 1.8;

	private final Map<String, PoolWorker> workers = new LinkedHashMap<>();

	private final Map<PieceId, Waiting> pieces = new HashMap<>();

	private final List<Waiting> queue = new ArrayList<>();

	private final Map<Long, PoolCall> calls = new HashMap<>();

	private final Set<Long> overdue = new HashSet<>();

	private PoolSpec spec;

	private long lastCall;

	/**
	 * Create a dispatcher.
	 * @param spec what a worker can do
	 */
	public PoolDispatcher(PoolSpec spec) {
		this.spec = spec;
	}

	/**
	 * Take what a worker can do, from a new configuration.
	 * @param fresh what it can do
	 */
	public void updateSpec(PoolSpec fresh) {
		this.spec = fresh;
	}

	/**
	 * Take the workers that exist now.
	 * @param entries the workers
	 */
	public void updateWorkers(List<UpstreamEntry> entries) {
		Set<String> present = new HashSet<>();
		for (UpstreamEntry entry : entries) {
			present.add(entry.id());
			PoolWorker known = this.workers.get(entry.id());
			if (known == null) {
				this.workers.put(entry.id(), new PoolWorker(entry));
			}
			else {
				known.update(entry);
			}
		}
		this.workers.keySet().retainAll(present);
	}

	/**
	 * Ask for a piece. A second ask for a piece replaces the first one's asker.
	 * @param job the piece
	 * @param asker hears its outcome
	 */
	public void ask(PieceJob job, PieceAsker asker) {
		Waiting known = this.pieces.get(job.id());
		if (known != null) {
			known.asker = asker;
			return;
		}
		Waiting waiting = new Waiting(job, asker);
		this.pieces.put(job.id(), waiting);
		this.queue.add(waiting);
	}

	/**
	 * Withdraw a piece. A call that holds it goes on; its result is given back as unused.
	 * @param id the piece
	 */
	public void withdraw(PieceId id) {
		Waiting known = this.pieces.remove(id);
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
		if (this.queue.isEmpty()) {
			return Optional.empty();
		}
		this.queue.sort(order(nowMs));
		for (PoolWorker worker : idleWorkers(nowMs)) {
			List<Waiting> chosen = choose(worker, nowMs);
			if (!chosen.isEmpty()) {
				return Optional.of(start(worker, chosen, nowMs));
			}
		}
		return Optional.empty();
	}

	private Comparator<Waiting> order(long nowMs) {
		long soonest = nowMs + (long) this.spec.expectedMs(1) + AFTER_PIECES_MS;
		return Comparator.<Waiting>comparingInt((w) -> (w.job.objectiveMs() >= soonest) ? 0 : 1)
			.thenComparingInt((w) -> w.job.priority())
			.thenComparingLong((w) -> w.job.objectiveMs());
	}

	private List<PoolWorker> idleWorkers(long nowMs) {
		List<PoolWorker> idle = new ArrayList<>();
		double fastest = this.workers.values()
			.stream()
			.filter((worker) -> worker.available(nowMs))
			.mapToDouble(PoolWorker::pace)
			.min()
			.orElse(1);
		for (PoolWorker worker : this.workers.values()) {
			boolean slow = worker.pace() > fastest * SLOW_PACE && this.queue.size() <= backlogForSlow();
			if (worker.idle(this.spec.slots(), nowMs) && !slow) {
				idle.add(worker);
			}
		}
		idle.sort(Comparator.comparingDouble(PoolWorker::pace));
		return idle;
	}

	// A slow worker helps only where the others could not take what waits in one call
	// each.
	private int backlogForSlow() {
		return this.spec.batch() * Math.max(this.workers.size() - 1, 1);
	}

	private List<Waiting> choose(PoolWorker worker, long nowMs) {
		List<Waiting> chosen = new ArrayList<>();
		Map<String, Integer> leftToOthers = new HashMap<>();
		for (Waiting waiting : this.queue) {
			if (chosen.size() >= this.spec.batch()) {
				break;
			}
			if (!waiting.failedAt.contains(worker.entry().id())
					&& !betterElsewhere(waiting, worker, leftToOthers, nowMs)) {
				chosen.add(waiting);
			}
		}
		return chosen;
	}

	private boolean betterElsewhere(Waiting waiting, PoolWorker worker, Map<String, Integer> leftToOthers, long nowMs) {
		PieceJob job = waiting.job;
		if (job.resultBytes() < LARGE_RESULT_BYTES || job.failureDomain().equals(worker.entry().failureDomain())) {
			return false;
		}
		Optional<PoolWorker> home = this.workers.values()
			.stream()
			.filter((other) -> other.entry().failureDomain().equals(job.failureDomain()))
			.filter((other) -> other.available(nowMs))
			.filter((other) -> !waiting.failedAt.contains(other.entry().id()))
			.min(Comparator.comparingLong(PoolWorker::expectedFreeMs));
		if (home.isEmpty()) {
			return false;
		}
		int before = leftToOthers.merge(job.failureDomain(), 1, Integer::sum);
		if (before > this.spec.batch()) {
			return false;
		}
		double readyAt = Math.max(home.get().expectedFreeMs(), nowMs)
				+ this.spec.expectedMs(this.spec.batch()) * home.get().pace();
		return readyAt + AFTER_PIECES_MS < job.objectiveMs();
	}

	private PoolCall start(PoolWorker worker, List<Waiting> chosen, long nowMs) {
		this.queue.removeAll(chosen);
		double expectedMs = this.spec.expectedMs(chosen.size()) * Math.max(worker.pace(), 1);
		worker.onStart(nowMs, expectedMs);
		this.lastCall++;
		List<PieceJob> jobs = chosen.stream().map((waiting) -> waiting.job).toList();
		chosen.forEach((waiting) -> waiting.calls++);
		PoolCall call = new PoolCall(this.lastCall, worker.entry(), jobs, nowMs, expectedMs);
		this.calls.put(call.number(), call);
		return call;
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
		InvariantViolation.unless(outcomes.size() == call.jobs().size(), "a call's outcomes do not match its pieces");
		PoolWorker worker = this.workers.get(call.worker().id());
		if (worker != null) {
			worker.onDone(nowMs - call.startedMs(), this.spec.expectedMs(call.jobs().size()));
		}
		List<String> unused = new ArrayList<>();
		for (int i = 0; i < outcomes.size(); i++) {
			onOutcome(call, call.jobs().get(i), outcomes.get(i), unused);
		}
		return unused;
	}

	private void onOutcome(PoolCall call, PieceJob job, PieceOutcome outcome, List<String> unused) {
		Waiting waiting = this.pieces.get(job.id());
		if (waiting == null) {
			if (outcome.status() == PieceOutcome.Status.MADE) {
				unused.add(outcome.handle());
			}
			return;
		}
		switch (outcome.status()) {
			case MADE, LATE, INPUT_GONE -> settle(waiting, outcome);
			case NO_ROOM, FAILED -> tryAgain(waiting, call.worker().id(), outcome);
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
		PoolWorker worker = this.workers.get(call.worker().id());
		if (worker != null) {
			worker.onFailed(nowMs);
		}
		PieceOutcome failed = PieceOutcome.notMade(PieceOutcome.Status.FAILED);
		for (PieceJob job : call.jobs()) {
			Waiting waiting = this.pieces.get(job.id());
			if (waiting != null && begun) {
				tryAgain(waiting, call.worker().id(), failed);
			}
			else if (waiting != null) {
				waiting.calls--;
				enqueue(waiting);
			}
		}
	}

	private PoolCall end(long number) {
		PoolCall call = InvariantViolation.present(this.calls.remove(number), "an unknown call ended");
		this.overdue.remove(number);
		PoolWorker worker = this.workers.get(call.worker().id());
		if (worker != null) {
			worker.onEnd();
		}
		return call;
	}

	private void tryAgain(Waiting waiting, String failedAt, PieceOutcome outcome) {
		waiting.failedAt.add(failedAt);
		if (waiting.calls >= MAX_CALLS) {
			settle(waiting, outcome);
			return;
		}
		if (waiting.failedAt.containsAll(this.workers.keySet())) {
			waiting.failedAt.clear();
		}
		enqueue(waiting);
	}

	private void enqueue(Waiting waiting) {
		if (!this.queue.contains(waiting)) {
			this.queue.add(waiting);
		}
	}

	private void settle(Waiting waiting, PieceOutcome outcome) {
		this.pieces.remove(waiting.job.id());
		this.queue.remove(waiting);
		waiting.asker.onOutcome(waiting.job.id(), outcome);
	}

	/**
	 * Give up waiting pieces that cannot be ready in time, and put the pieces of overdue
	 * calls back into the queue, so that another worker makes them.
	 * @param nowMs the steady clock
	 */
	public void tick(long nowMs) {
		PieceOutcome late = PieceOutcome.notMade(PieceOutcome.Status.LATE);
		double shortestMs = this.spec.expectedMs(1);
		for (Waiting waiting : new ArrayList<>(this.queue)) {
			if (nowMs + shortestMs > waiting.job.deadlineMs()) {
				settle(waiting, late);
			}
		}
		for (PoolCall call : this.calls.values()) {
			double tookMs = nowMs - call.startedMs();
			if (tookMs > call.expectedMs() * OVERDUE_FACTOR + OVERDUE_MARGIN_MS && this.overdue.add(call.number())) {
				onOverdue(call, tookMs);
			}
		}
	}

	private void onOverdue(PoolCall call, double tookMs) {
		PoolWorker worker = this.workers.get(call.worker().id());
		if (worker != null) {
			worker.onOverdue(tookMs, this.spec.expectedMs(call.jobs().size()));
		}
		for (PieceJob job : call.jobs()) {
			Waiting waiting = this.pieces.get(job.id());
			if (waiting != null && waiting.calls < MAX_CALLS) {
				waiting.failedAt.add(call.worker().id());
				enqueue(waiting);
			}
		}
	}

	/**
	 * Return how many pieces wait for a call.
	 * @return the count
	 */
	public int waiting() {
		return this.queue.size();
	}

	/**
	 * Return how many calls are in progress.
	 * @return the count
	 */
	public int callsInProgress() {
		return this.calls.size();
	}

	/** A piece that was asked for and has no outcome yet. */
	private static final class Waiting {

		private final PieceJob job;

		private final Set<String> failedAt = new HashSet<>();

		private PieceAsker asker;

		private int calls;

		private Waiting(PieceJob job, PieceAsker asker) {
			this.job = job;
			this.asker = asker;
		}

	}

}
