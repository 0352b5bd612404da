package org.tallycart.core.outcome;

import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Tracks all attempts of one request and determines which outcome may be reported.
 * <p>
 * Invariants, checked at run time: an attempt that has begun never returns to the planned
 * state; a stage accepts one result; a result is accepted only from a begun attempt of
 * this request; a call that must not be repeated begins once, and again only after its
 * upstream has refused it; the result of the request is set once; NOT_RUN is reported
 * only if no attempt has begun or all begun attempts were refused. Thread-safe: attempts
 * of a hedged call report from several threads.
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

	private @Nullable RequestResult result;

	private AttemptTracker(String requestId, boolean repeatable) {
		this.requestId = requestId;
		this.repeatable = repeatable;
	}

	/**
	 * Create the tracker of a request.
	 * @param requestId the id of the request
	 * @param repeatable whether its stage calls may be repeated
	 * @return a tracker without attempts
	 */
	public static AttemptTracker create(String requestId, boolean repeatable) {
		return new AttemptTracker(requestId, repeatable);
	}

	/**
	 * Plan an attempt at a stage call.
	 * @param stage the stage
	 * @return the number of the attempt within the request
	 */
	public synchronized int plan(String stage) {
		int number = this.attempts.size() + 1;
		this.attempts.put(number, new Attempt(stage));
		return number;
	}

	/**
	 * Record that the first byte of an attempt is about to be written to a socket.
	 * @param number the number of the attempt
	 * @return true if the attempt may proceed; false if the request has a result or, for
	 * a call that must not be repeated, another attempt has begun
	 */
	public synchronized boolean begin(int number) {
		Attempt attempt = attempt(number);
		if (this.result != null || attempt.state != AttemptState.PLANNED) {
			return false;
		}
		if (!this.repeatable && countRuns(attempt.stage) > 0) {
			return false;
		}
		attempt.state = AttemptState.BEGUN;
		attempt.hadBegun = true;
		this.begun++;
		InvariantViolation.check(this.repeatable || countRuns(attempt.stage) == 1,
				this.requestId + ": a call that must not be repeated began twice");
		return true;
	}

	/**
	 * Offer the result of an attempt.
	 * @param number the number of the attempt
	 * @return true if it is accepted as the result of the stage; false if it is late
	 * because the attempt was abandoned, the stage already has a result, or the request
	 * has a result
	 */
	public synchronized boolean accept(int number) {
		Attempt attempt = attempt(number);
		if (this.result != null || attempt.state != AttemptState.BEGUN || this.accepted.containsKey(attempt.stage)) {
			this.lateResults++;
			return false;
		}
		attempt.state = AttemptState.SUCCEEDED;
		Integer previous = this.accepted.put(attempt.stage, number);
		InvariantViolation.check(previous == null, this.requestId + ": stage " + attempt.stage + " has two results");
		return true;
	}

	/**
	 * Close an attempt without a result.
	 * @param number the number of the attempt
	 * @param state the final state: REFUSED, FAILED or ABANDONED
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
	 * Set the result of the request, correcting its outcome according to the attempts.
	 * @param proposed the proposed result
	 * @return the result to report; the same on every later call
	 */
	public synchronized RequestResult end(RequestResult proposed) {
		if (this.result == null) {
			this.result = correctOutcome(proposed);
			InvariantViolation.check(this.result.outcome() != Outcome.NOT_RUN || this.begun == refusedCount(),
					this.requestId + ": reported NOT_RUN after a call had begun");
		}
		return this.result;
	}

	private RequestResult correctOutcome(RequestResult proposed) {
		Outcome outcome = proposed.outcome();
		if (outcome == Outcome.COMPLETE || outcome == Outcome.UNKNOWN) {
			return proposed;
		}
		if (!this.repeatable && uncertainCount() > 0) {
			outcome = Outcome.UNKNOWN;
		}
		else {
			outcome = (this.begun == refusedCount() && outcome == Outcome.NOT_RUN) ? Outcome.NOT_RUN : Outcome.FAILED;
		}
		return new RequestResult(outcome, proposed.reason(), proposed.detail(), proposed.retryAfterMs());
	}

	private long countRuns(String stage) {
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
	 * Return the number of attempts that have begun.
	 * @return the count
	 */
	public synchronized int begunCount() {
		return this.begun;
	}

	/**
	 * Return the number of late results that were dropped.
	 * @return the count
	 */
	public synchronized int lateResultCount() {
		return this.lateResults;
	}

	private Attempt attempt(int number) {
		Attempt attempt = this.attempts.get(number);
		if (attempt == null) {
			throw new IllegalArgumentException(this.requestId + ": unknown attempt " + number);
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
