package org.tallycart.core.outcome;

import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Ledger of every attempt made for one request; it alone decides which outcome may be
 * told.
 * <p>
 * Invariants, checked in production: an attempt that has begun never un-begins; a stage
 * accepts one result; a result is accepted only from a begun attempt of this request; a
 * call that may not be repeated begins once, and again only after its upstream refused
 * it; an ending is set once; NOT_RUN is told only if nothing has begun. Thread-safe:
 * attempts of a hedged call report from several threads.
 *
 * @since 0.1
 */
public final class AttemptTracker {

	private final String requestId;

	private final boolean repeatable;

	private final Map<Integer, Attempt> attempts = new HashMap<>();

	private final Map<String, Integer> accepted = new HashMap<>();

	private int begun;

	private int lateResults;

	private @Nullable RequestResult ending;

	private AttemptTracker(String requestId, boolean repeatable) {
		this.requestId = requestId;
		this.repeatable = repeatable;
	}

	/**
	 * Open the ledger of a request.
	 * @param requestId the request
	 * @param repeatable whether its stage calls may be repeated
	 * @return an empty ledger
	 */
	public static AttemptTracker create(String requestId, boolean repeatable) {
		return new AttemptTracker(requestId, repeatable);
	}

	/**
	 * Plan an attempt at a stage call.
	 * @param stage the stage
	 * @return the attempt's number within the request
	 */
	public synchronized int plan(String stage) {
		int number = this.attempts.size() + 1;
		this.attempts.put(number, new Attempt(stage));
		return number;
	}

	/**
	 * Record that the first byte of an attempt is about to be handed to a socket.
	 * @param number the attempt
	 * @return whether the attempt may go on; false if the request has ended or, for a
	 * call that may not be repeated, another attempt has begun
	 */
	public synchronized boolean begin(int number) {
		Attempt attempt = attempt(number);
		if (this.ending != null || attempt.state != AttemptState.PLANNED) {
			return false;
		}
		if (!this.repeatable && runsOf(attempt.stage) > 0) {
			return false;
		}
		attempt.state = AttemptState.BEGUN;
		attempt.hadBegun = true;
		this.begun++;
		InvariantViolation.check(this.repeatable || runsOf(attempt.stage) == 1,
				this.requestId + ": a call that may not be repeated began twice");
		return true;
	}

	/**
	 * Offer the result of an attempt.
	 * @param number the attempt
	 * @return whether the result is the stage's result; false if it came late, after the
	 * attempt was abandoned or the stage had its result
	 */
	public synchronized boolean accept(int number) {
		Attempt attempt = attempt(number);
		if (this.ending != null || attempt.state != AttemptState.BEGUN || this.accepted.containsKey(attempt.stage)) {
			this.lateResults++;
			return false;
		}
		attempt.state = AttemptState.SUCCEEDED;
		Integer before = this.accepted.put(attempt.stage, number);
		InvariantViolation.check(before == null, this.requestId + ": stage " + attempt.stage + " has two results");
		return true;
	}

	/**
	 * Close an attempt without a result.
	 * @param number the attempt
	 * @param state how it ended: REFUSED, FAILED or ABANDONED
	 */
	public synchronized void close(int number, AttemptState state) {
		Attempt attempt = attempt(number);
		if (attempt.state == AttemptState.SUCCEEDED) {
			return;
		}
		if (attempt.state == AttemptState.PLANNED) {
			attempt.state = AttemptState.ABANDONED;
			return;
		}
		attempt.state = state;
	}

	/**
	 * End the request, correcting the outcome to one that is true.
	 * @param wanted the ending that the caller of this method proposes
	 * @return the ending to tell, the same at every later call
	 */
	public synchronized RequestResult end(RequestResult wanted) {
		if (this.ending == null) {
			this.ending = truthful(wanted);
			InvariantViolation.check(this.ending.outcome() != Outcome.NOT_RUN || this.begun == refusedCount(),
					this.requestId + ": told NOT_RUN after a call had begun");
		}
		return this.ending;
	}

	private RequestResult truthful(RequestResult wanted) {
		Outcome outcome = wanted.outcome();
		if (outcome == Outcome.COMPLETE || outcome == Outcome.UNKNOWN) {
			return wanted;
		}
		if (!this.repeatable && uncertainCount() > 0) {
			outcome = Outcome.UNKNOWN;
		}
		else {
			outcome = (this.begun == refusedCount() && outcome == Outcome.NOT_RUN) ? Outcome.NOT_RUN : Outcome.FAILED;
		}
		return new RequestResult(outcome, wanted.reason(), wanted.detail(), wanted.retryAfterMs());
	}

	private long runsOf(String stage) {
		return this.attempts.values()
			.stream()
			.filter((attempt) -> attempt.stage.equals(stage) && attempt.hadBegun
					&& attempt.state != AttemptState.REFUSED)
			.count();
	}

	private int refusedCount() {
		return count(AttemptState.REFUSED);
	}

	private int uncertainCount() {
		return count(AttemptState.ABANDONED, true) + count(AttemptState.BEGUN);
	}

	private int count(AttemptState state) {
		return (int) this.attempts.values().stream().filter((attempt) -> attempt.state == state).count();
	}

	private int count(AttemptState state, boolean hadBegun) {
		return (int) this.attempts.values()
			.stream()
			.filter((attempt) -> attempt.state == state && attempt.hadBegun == hadBegun)
			.count();
	}

	/**
	 * Return how many attempts have begun.
	 * @return the count
	 */
	public synchronized int begunCount() {
		return this.begun;
	}

	/**
	 * Return how many results came too late and were dropped.
	 * @return the count
	 */
	public synchronized int lateResultCount() {
		return this.lateResults;
	}

	private Attempt attempt(int number) {
		Attempt attempt = this.attempts.get(number);
		if (attempt == null) {
			throw new IllegalArgumentException(this.requestId + ": no attempt " + number);
		}
		return attempt;
	}

	private static final class Attempt {

		private final String stage;

		private AttemptState state = AttemptState.PLANNED;

		private boolean hadBegun;

		private Attempt(String stage) {
			this.stage = stage;
		}

	}

}
