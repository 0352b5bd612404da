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
 * Limits the calls of this VM in flight at one service; further requests wait in a queue.
 * <p>
 * Invariant: every permit is released exactly once. Thread-safe.
 *
 * @since 0.1
 */
final class StageConcurrencyLimiter {

	private static final int QUEUE_CAPACITY = 1_000;

	private final String service;

	private final StageQueue<Waiter> queue = StageQueue.create(QUEUE_CAPACITY, 1);

	StageConcurrencyLimiter(String service) {
		this.service = service;
	}

	/**
	 * Wait for a permit.
	 * @param work the request to queue
	 * @param limit maximum number of calls of this VM in flight
	 * @param maxWaitMs maximum wait, in milliseconds
	 * @return the permit, or the reason for the refusal
	 */
	Either<Reason, Permit> acquire(StageQueue.Work<Waiter> work, int limit, long maxWaitMs) {
		Waiter waiter = work.payload();
		synchronized (this) {
			this.queue.setLimit(limit);
			Optional<StageQueue.Item<Waiter>> displaced = this.queue.offer(work);
			displaced.ifPresent((item) -> item.payload().decision.complete(Decision.DISPLACED));
			dispatch();
		}
		return switch (waiter.await(maxWaitMs)) {
			case ADMITTED -> Either.right(new Permit(this));
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
		// The decision was made between the timeout and the cancellation.
		return (waiter.await(0) == Decision.ADMITTED) ? Either.right(new Permit(this)) : Either.left(Reason.QUEUE_FULL);
	}

	private void dispatch() {
		Optional<StageQueue.Item<Waiter>> next = this.queue.poll();
		while (next.isPresent()) {
			next.get().payload().decision.complete(Decision.ADMITTED);
			next = this.queue.poll();
		}
	}

	private synchronized void release() {
		this.queue.release();
		dispatch();
	}

	/**
	 * Return the load that a new request would encounter.
	 * @param workspace the request's workspace
	 * @param priority the request's priority
	 * @param expectedMs expected time of one call, in milliseconds
	 * @param limit maximum number of calls of this VM in flight
	 * @return the load
	 */
	synchronized LoadFacts load(String workspace, long priority, long expectedMs, int limit) {
		int ahead = this.queue.countAhead(workspace, priority);
		boolean free = this.queue.inFlightCount() < limit && ahead == 0;
		long waitMs = free ? 0 : (ahead + 1) * expectedMs / Math.max(limit, 1);
		return new LoadFacts(this.service, this.queue.waitingCount(), this.queue.inFlightCount(), limit, waitMs);
	}

	/** Decision on a waiting request. */
	private enum Decision {

		PENDING, ADMITTED, DISPLACED

	}

	/** Waiting request. Thread-safe. */
	static final class Waiter {

		private final CompletableFuture<Decision> decision = new CompletableFuture<>();

		private Decision await(long millis) {
			try {
				return this.decision.get(Math.max(millis, 0), TimeUnit.MILLISECONDS);
			}
			catch (TimeoutException ex) {
				return Decision.PENDING;
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return Decision.PENDING;
			}
			catch (ExecutionException ex) {
				throw new IllegalStateException("queue decision completed exceptionally", ex);
			}
		}

	}

	/** Permit for one call in flight, released by {@link #close()}. */
	static final class Permit implements AutoCloseable {

		private final StageConcurrencyLimiter limiter;

		private Permit(StageConcurrencyLimiter limiter) {
			this.limiter = limiter;
		}

		@Override
		public void close() {
			this.limiter.release();
		}

	}

}
