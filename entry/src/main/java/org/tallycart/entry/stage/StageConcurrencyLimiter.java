package org.tallycart.entry.stage;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.vavr.control.Either;
import org.tallycart.core.outcome.Reason;
import org.tallycart.core.policy.LoadFacts;
import org.tallycart.core.routing.StageQueue;

/**
 * Where requests wait until this VM may have another call in flight at a service.
 * <p>
 * Invariant: every permit is given back once. Thread-safe.
 *
 * @since 0.1
 */
final class StageConcurrencyLimiter {

	private static final int CAPACITY = 1_000;

	private final String service;

	private final StageQueue<Waiter> queue = StageQueue.create(CAPACITY, 1);

	StageConcurrencyLimiter(String service) {
		this.service = service;
	}

	/**
	 * Wait for a permit.
	 * @param work who waits
	 * @param limit calls this VM may have in flight
	 * @param patienceMs how long waiting is of use
	 * @return the permit, or why there is none
	 */
	Either<Reason, Permit> acquire(StageQueue.Work<Waiter> work, int limit, long patienceMs) {
		Waiter waiter = work.payload();
		synchronized (this) {
			this.queue.setLimit(limit);
			Optional<StageQueue.Item<Waiter>> displaced = this.queue.offer(work);
			displaced.ifPresent((item) -> item.payload().decided.complete(Decision.DISPLACED));
			dispatch();
		}
		return switch (waiter.await(patienceMs)) {
			case LET_GO -> Either.right(new Permit(this));
			case DISPLACED -> Either.left(Reason.QUEUE_FULL);
			case PENDING -> withdraw(waiter);
		};
	}

	private Either<Reason, Permit> withdraw(Waiter waiter) {
		synchronized (this) {
			if (this.queue.cancel(waiter)) {
				return Either.left(Reason.DEADLINE);
			}
		}
		// It was decided just now.
		return (waiter.await(0) == Decision.LET_GO) ? Either.right(new Permit(this)) : Either.left(Reason.QUEUE_FULL);
	}

	private void dispatch() {
		Optional<StageQueue.Item<Waiter>> next = this.queue.poll();
		while (next.isPresent()) {
			next.get().payload().decided.complete(Decision.LET_GO);
			next = this.queue.poll();
		}
	}

	private synchronized void release() {
		this.queue.release();
		dispatch();
	}

	/**
	 * Describe the load a request would meet.
	 * @param workspace the request's workspace
	 * @param priority the request's priority
	 * @param expectedMs how long one call can be expected to take
	 * @param limit calls this VM may have in flight
	 * @return the load
	 */
	synchronized LoadFacts load(String workspace, long priority, long expectedMs, int limit) {
		int ahead = this.queue.countAhead(workspace, priority);
		boolean free = this.queue.inFlightCount() < limit && ahead == 0;
		long waitMs = free ? 0 : (ahead + 1) * expectedMs / Math.max(limit, 1);
		return new LoadFacts(this.service, this.queue.waitingCount(), this.queue.inFlightCount(), limit, waitMs);
	}

	/** What became of one that waits. */
	private enum Decision {

		PENDING, LET_GO, DISPLACED

	}

	/** One that waits. Thread-safe. */
	static final class Waiter {

		private final CompletableFuture<Decision> decided = new CompletableFuture<>();

		private Decision await(long millis) {
			try {
				return this.decided.get(Math.max(millis, 0), TimeUnit.MILLISECONDS);
			}
			catch (TimeoutException ex) {
				return Decision.PENDING;
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return Decision.PENDING;
			}
			catch (ExecutionException ex) {
				throw new IllegalStateException("a decision never fails", ex);
			}
		}

	}

	/** Leave to have a call in flight. */
	static final class Permit implements AutoCloseable {

		private final StageConcurrencyLimiter gate;

		private Permit(StageConcurrencyLimiter gate) {
			this.gate = gate;
		}

		@Override
		public void close() {
			this.gate.release();
		}

	}

}
