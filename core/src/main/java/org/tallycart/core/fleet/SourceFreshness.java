package org.tallycart.core.fleet;

/**
 * Freshness of the store contents that another VM relays, by its heartbeat replies.
 * <p>
 * Not thread-safe: guarded by {@link StoreSourceChooser}.
 */
final class SourceFreshness {

	private static final long NEVER = Long.MIN_VALUE / 2;

	private long lastReplyMs = NEVER;

	private long reportedAgeMs;

	private boolean canRelay;

	private long freshSinceMs = NEVER;

	void onReply(boolean newCanRelay, long storeAgeMs, long maxAgeMs, long nowMs) {
		boolean wasFresh = isFresh(maxAgeMs, nowMs);
		this.lastReplyMs = nowMs;
		this.reportedAgeMs = storeAgeMs;
		this.canRelay = newCanRelay;
		if (!wasFresh) {
			this.freshSinceMs = nowMs;
		}
	}

	// Time since the store was last read by the origin of the contents, in milliseconds.
	long ageMs(long nowMs) {
		return this.canRelay ? this.reportedAgeMs + (nowMs - this.lastReplyMs) : Long.MAX_VALUE;
	}

	boolean isFresh(long maxAgeMs, long nowMs) {
		return ageMs(nowMs) <= maxAgeMs;
	}

	long freshForMs(long maxAgeMs, long nowMs) {
		return isFresh(maxAgeMs, nowMs) ? nowMs - this.freshSinceMs : 0;
	}

}
