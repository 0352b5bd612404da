package org.tallycart.node.store;

import org.tallycart.wire.message.NodeBeat;

/**
 * Whether another VM can be followed instead of the store, by its own answers.
 * <p>
 * Not thread-safe: belongs to the event loop.
 */
final class SourceHealth {

	/**
	 * A VM to which the store has not answered for longer cannot be followed, in
	 * milliseconds. It asks the store every 400 ms, and a slow store takes as long again;
	 * with the list that is read then, a change is still in force within two seconds.
	 */
	private static final long STORE_AGE_MS = 1_100;

	private static final long NEVER = Long.MIN_VALUE / 2;

	private long answeredMs = NEVER;

	private long storeAgeMs;

	private boolean follows;

	private long healthySinceMs = NEVER;

	void onAnswer(NodeBeat answer, long nowMs) {
		boolean before = healthy(nowMs);
		this.answeredMs = nowMs;
		this.storeAgeMs = Integer.toUnsignedLong(answer.getStoreAgeMs());
		this.follows = answer.getFollowsStore();
		if (healthy(nowMs) && !before) {
			this.healthySinceMs = nowMs;
		}
	}

	boolean healthy(long nowMs) {
		return this.follows && this.storeAgeMs + (nowMs - this.answeredMs) <= STORE_AGE_MS;
	}

	long healthyForMs(long nowMs) {
		return healthy(nowMs) ? nowMs - this.healthySinceMs : 0;
	}

}
