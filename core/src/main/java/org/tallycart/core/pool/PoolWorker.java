package org.tallycart.core.pool;

import org.tallycart.core.serving.UpstreamEntry;

/**
 * What the dispatcher knows of one worker of its pool.
 * <p>
 * Not thread-safe: guarded by {@link PoolDispatcher}.
 */
final class PoolWorker {

	/**
	 * Weight of the newest call in the pace. A third follows a change within a few calls.
	 */
	private static final double PACE_WEIGHT = 0.35;

	/** First pause after a failure, in milliseconds; below a call's length. */
	private static final long FIRST_PAUSE_MS = 150;

	/**
	 * Longest pause, in milliseconds: a worker that is back is used again in a second.
	 */
	private static final long LONGEST_PAUSE_MS = 1_000;

	private UpstreamEntry entry;

	private int running;

	private double pace = 1;

	private long pausedUntilMs;

	private long pauseMs = FIRST_PAUSE_MS;

	private long expectedFreeMs;

	private boolean idleForSure;

	private boolean closed;

	PoolWorker(UpstreamEntry entry) {
		this.entry = entry;
	}

	UpstreamEntry entry() {
		return this.entry;
	}

	void update(UpstreamEntry fresh) {
		this.entry = fresh;
	}

	boolean idle(int slots, long nowMs) {
		return this.running < slots && available(nowMs);
	}

	// Whether it gets no calls, although it works: its failure domain is evacuated.
	void setClosed(boolean noCalls) {
		this.closed = noCalls;
	}

	boolean available(long nowMs) {
		return !this.entry.draining() && !this.closed && nowMs >= this.pausedUntilMs;
	}

	boolean closed() {
		return this.closed;
	}

	// Calls take this many times as long as at a worker of ordinary speed.
	double pace() {
		return this.pace;
	}

	long expectedFreeMs() {
		return this.expectedFreeMs;
	}

	// Whether a call that is sent now is begun at once. A worker may still be busy with a
	// call that was given up, or that another dispatcher sent; an answer shows that it is
	// not.
	boolean idleForSure() {
		return this.idleForSure;
	}

	void onAnswer() {
		this.idleForSure = true;
	}

	void onStart(long nowMs, double expectedMs) {
		this.running++;
		this.expectedFreeMs = nowMs + (long) expectedMs;
	}

	void onEnd() {
		this.running--;
	}

	void onDone(double tookMs, double expectedMs) {
		this.pace += PACE_WEIGHT * (tookMs / expectedMs - this.pace);
		this.pauseMs = FIRST_PAUSE_MS;
	}

	void onOverdue(double tookMs, double expectedMs) {
		this.pace = Math.max(this.pace, tookMs / expectedMs);
	}

	void onNoRoom(long untilMs) {
		this.pausedUntilMs = Math.max(this.pausedUntilMs, untilMs);
	}

	void onFailed(long nowMs) {
		this.idleForSure = false;
		this.pausedUntilMs = nowMs + this.pauseMs;
		this.pauseMs = Math.min(this.pauseMs * 2, LONGEST_PAUSE_MS);
	}

}
