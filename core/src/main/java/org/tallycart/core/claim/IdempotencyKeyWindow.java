package org.tallycart.core.claim;

import java.util.Optional;

import org.tallycart.core.outcome.Outcome;
import org.tallycart.core.outcome.Reason;
import org.tallycart.core.outcome.RequestResult;

/**
 * Time window in which an idempotency key can be claimed.
 * <p>
 * A key outside the window is refused. The result is NOT_RUN only if no VM can have
 * executed the key, given that clocks differ by up to {@code skewMs}. Immutable and
 * thread-safe.
 *
 * @param retentionMs retention time of claims, in milliseconds
 * @param skewMs maximum difference between two clocks, in milliseconds
 * @since 0.1
 */
public record IdempotencyKeyWindow(long retentionMs, long skewMs) {

	/**
	 * Check the age of a key.
	 * @param key the key
	 * @param nowMs the current wall clock time, in milliseconds
	 * @return the result to return to the caller, or empty if the key can be claimed
	 */
	public Optional<RequestResult> check(IdempotencyKey key, long nowMs) {
		long age = nowMs - key.createdMs();
		if (age > this.retentionMs) {
			return Optional.of(RequestResult.of(Outcome.UNKNOWN, Reason.KEY_EXPIRED,
					"the key is " + age + " ms old; claims are kept for " + this.retentionMs + " ms"));
		}
		if (-age > this.skewMs) {
			// A VM whose clock is ahead by the skew may already have accepted this key.
			Outcome outcome = (-age > 2 * this.skewMs) ? Outcome.NOT_RUN : Outcome.UNKNOWN;
			return Optional.of(new RequestResult(outcome, Reason.KEY_FROM_FUTURE,
					"the key was created " + -age + " ms ahead", -age - this.skewMs));
		}
		return Optional.empty();
	}

}
