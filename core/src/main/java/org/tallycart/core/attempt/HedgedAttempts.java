package org.tallycart.core.attempt;

import java.util.Optional;

import org.tallycart.core.outcome.InvariantViolation;

/**
 * The attempts of one request: the current one, whose answer the caller gets, and a hedge
 * that is made while the upstream of the current one is silent or slow.
 * <p>
 * A hedge is sought first, which takes what it needs: a permit, an upstream, stage
 * results. Meanwhile, and until the hedge is answered, the current attempt goes on. The
 * first of the two that is answered remains. Beside a silent upstream, any byte of the
 * current attempt and the head of a hedge are an answer. Beside a slow one the two race:
 * only the first event of a stream, or a complete reply, is an answer.
 * <p>
 * Invariants: there are at most two attempts; a hedge is sought or made only while there
 * is none; the current attempt leaves only when it has ended or the hedge is answered; a
 * race lasts only while a hedge is sought or made beside the current attempt. Not
 * thread-safe: confined to the event loop.
 *
 * @param <A> the type of an attempt
 * @since 0.1
 */
public final class HedgedAttempts<A> {

	private Optional<A> current = Optional.empty();

	private Optional<A> hedge = Optional.empty();

	private boolean seeking;

	private boolean racing;

	/**
	 * Return whether a hedge may be sought for an attempt that is silent.
	 * @param silent the attempt
	 * @return false if it is not the current one, or a hedge is sought or made already
	 */
	public boolean mayHedge(A silent) {
		return isCurrent(silent) && !this.seeking && this.hedge.isEmpty();
	}

	/** Begin to seek a hedge beside a silent upstream. */
	public void beginSeeking() {
		InvariantViolation.check(!this.seeking && this.hedge.isEmpty(), "a hedge is sought or made already");
		this.seeking = true;
	}

	/** Begin to seek a hedge beside a slow upstream. */
	public void beginRace() {
		beginSeeking();
		this.racing = true;
	}

	/**
	 * Return whether a hedge is sought or made beside a slow upstream.
	 * @return true until one of the attempts is answered or has ended
	 */
	public boolean isRacing() {
		return this.racing;
	}

	/**
	 * Stop seeking a hedge.
	 * @return whether one was sought
	 */
	public boolean stopSeeking() {
		boolean sought = this.seeking;
		this.seeking = false;
		this.racing &= !sought;
		return sought;
	}

	/**
	 * Add an attempt that is sent: as the current one if there is none, else as the
	 * hedge.
	 * @param sent the attempt
	 */
	public void onSent(A sent) {
		this.seeking = false;
		if (this.current.isEmpty()) {
			this.current = Optional.of(sent);
			this.racing = false;
		}
		else {
			InvariantViolation.check(this.hedge.isEmpty(), "a request has more than two attempts");
			this.hedge = Optional.of(sent);
		}
	}

	/**
	 * Make an attempt the current one, because it is answered.
	 * @param answered the attempt
	 * @return the other attempt, which has to be cancelled; empty if there is none
	 */
	public Optional<A> onAnswered(A answered) {
		Optional<A> other = isCurrent(answered) ? this.hedge : this.current;
		this.current = Optional.of(answered);
		this.hedge = Optional.empty();
		this.racing &= this.seeking;
		return other;
	}

	/**
	 * Remove an attempt that has ended without an answer for the caller. The hedge, if
	 * any, becomes the current attempt.
	 * @param ended the attempt
	 */
	public void onEnded(A ended) {
		if (isCurrent(ended)) {
			this.current = this.hedge;
		}
		this.hedge = Optional.empty();
		this.racing &= this.seeking;
	}

	/**
	 * Return whether an attempt is the current one.
	 * @param attempt the attempt
	 * @return true if it is
	 */
	public boolean isCurrent(A attempt) {
		return this.current.filter((present) -> present == attempt).isPresent();
	}

	/**
	 * Return whether the request goes on without a decision: an attempt is in flight, or
	 * a hedge is sought.
	 * @return false if there is neither
	 */
	public boolean isUnderWay() {
		return this.current.isPresent() || this.seeking;
	}

	/**
	 * Return whether a hedge is sought.
	 * @return true if it is
	 */
	public boolean isSeeking() {
		return this.seeking;
	}

	/**
	 * Return the current attempt.
	 * @return the attempt; empty if none is in flight
	 */
	public Optional<A> current() {
		return this.current;
	}

	/**
	 * Return the attempt beside the current one.
	 * @return the attempt; empty if there is none
	 */
	public Optional<A> hedge() {
		return this.hedge;
	}

}
