package org.tallycart.node.request;

import java.util.Optional;

/**
 * Hedges of one request beside an attempt that is slow.
 * <p>
 * Not thread-safe: confined to the event loop.
 */
interface RequestHedging {

	/** Hedging of a request that is not hedged: starts no timers and records nothing. */
	RequestHedging NONE = new RequestHedging() {
	};

	/**
	 * Handle an attempt that is about to be sent.
	 * @param attempt the attempt
	 * @param first whether it is the first attempt of the request
	 * @param begun whether the caller has received an event
	 */
	default void onSend(Attempt attempt, boolean first, boolean begun) {
	}

	/**
	 * Try to acquire a hedge beside a slow attempt.
	 * @param slow the attempt
	 * @param attemptCount the number of attempts that were sent
	 * @param picker knows the upstreams for a hedge
	 * @return whether a hedge is to be sought; one that is not sent has to be returned
	 */
	default boolean tryBegin(Attempt slow, int attemptCount, UpstreamPicker picker) {
		return false;
	}

	/**
	 * Handle a hedge that was acquired and is not sent.
	 * @param reason why it is not sent
	 */
	default void onNotSent(String reason) {
	}

	/**
	 * Handle the first event or the reply of an attempt.
	 * @param answered the attempt
	 */
	default void onFirstAnswer(Attempt answered) {
	}

	/**
	 * Handle an attempt that is answered, so that no other one remains.
	 * @param answered the attempt
	 * @param other the attempt that is given up for it; empty if there is none
	 */
	default void onAnswered(Attempt answered, Optional<Attempt> other) {
	}

	/**
	 * Handle the end of an attempt that was not answered, or of the request.
	 * @param ended the attempt
	 */
	default void onEnded(Attempt ended) {
	}

}
