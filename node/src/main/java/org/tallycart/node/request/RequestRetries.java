package org.tallycart.node.request;

/**
 * The retry that a request has acquired from its service's budget and not sent yet.
 * <p>
 * Invariant: a request holds one such retry at most, which is sent or returned. Not
 * thread-safe: confined to the event loop.
 */
final class RequestRetries {

	private final RetryBudgets budgets;

	private final String service;

	private final AttemptLog log;

	private boolean held;

	RequestRetries(RetryBudgets budgets, String service, AttemptLog log) {
		this.budgets = budgets;
		this.service = service;
		this.log = log;
	}

	void onFirstAttempt() {
		this.budgets.onArrival(this.service);
	}

	boolean tryAcquire() {
		if (!this.budgets.tryAcquire(this.service)) {
			this.log.onRetryDenied();
			return false;
		}
		onAcquired();
		return true;
	}

	/** Take over the retry that was acquired together with a hedge. */
	void onAcquired() {
		release();
		this.held = true;
		this.log.onRetryGranted();
	}

	/** Record that an attempt is sent, which is the retry if one is held. */
	void onSend() {
		if (this.held) {
			this.held = false;
			this.budgets.onSent(this.service);
		}
	}

	/** Return the retry, if one is held. */
	void release() {
		if (this.held) {
			this.held = false;
			this.budgets.refund(this.service);
		}
	}

}
