package org.tallycart.core.fleet;

/**
 * How fresh what another VM passes on is, by its own answers.
 * <p>
 * Not thread-safe: guarded by {@link StoreSourceChooser}.
 */
final class SourceFreshness {

	private static final long NEVER = Long.MIN_VALUE / 2;

	private long answeredMs = NEVER;

	private long toldAgeMs;

	private boolean passesOn;

	private long fitSinceMs = NEVER;

	void onAnswer(boolean nowPassesOn, long storeAgeMs, long mostAgeMs, long nowMs) {
		boolean before = fit(mostAgeMs, nowMs);
		this.answeredMs = nowMs;
		this.toldAgeMs = storeAgeMs;
		this.passesOn = nowPassesOn;
		if (!before) {
			this.fitSinceMs = nowMs;
		}
	}

	// How long ago the store answered whoever asked it, in milliseconds.
	long ageMs(long nowMs) {
		return this.passesOn ? this.toldAgeMs + (nowMs - this.answeredMs) : Long.MAX_VALUE;
	}

	boolean fit(long mostAgeMs, long nowMs) {
		return ageMs(nowMs) <= mostAgeMs;
	}

	long fitForMs(long mostAgeMs, long nowMs) {
		return fit(mostAgeMs, nowMs) ? nowMs - this.fitSinceMs : 0;
	}

}
