package org.tallycart.core.pool;

import org.tallycart.core.serving.UpstreamEntry;

/**
 * State of one worker of a pool, as known to the dispatcher.
 * <p>
 * Not thread-safe: guarded by {@link PoolDispatcher}.
 */
final class PoolWorker {

	/**
	 * Weight of the newest call in the moving average of the slowdown.
	 */
	private static final double SLOWDOWN_WEIGHT = 0.35;

	/** Pause after a first failure, in milliseconds. */
	private static final long FIRST_PAUSE_MS = 150;

	/**
	 * Upper bound of the pause, which doubles with each failure, in milliseconds.
	 */
	private static final long MAX_PAUSE_MS = 1_000;

	private UpstreamEntry entry;

	private int running;

	private double slowdown = 1;

	private long pausedUntilMs;

	private long pauseMs = FIRST_PAUSE_MS;

	private long expectedFreeMs;

	private boolean knownIdle;

	private boolean evacuated;

	PoolWorker(UpstreamEntry entry) {
		this.entry = entry;
	}

	UpstreamEntry entry() {
		return this.entry;
	}

	void update(UpstreamEntry newEntry) {
		this.entry = newEntry;
	}

	boolean isIdle(int slots, long nowMs) {
		return this.running < slots && isAvailable(nowMs);
	}

	// A worker in an evacuated failure domain gets no calls.
	void setEvacuated(boolean value) {
		this.evacuated = value;
	}

	boolean isAvailable(long nowMs) {
		return !this.entry.draining() && !this.evacuated && nowMs >= this.pausedUntilMs;
	}

	boolean isEvacuated() {
		return this.evacuated;
	}

	// Duration of this worker's calls in relation to their nominal duration.
	double slowdown() {
		return this.slowdown;
	}

	long expectedFreeMs() {
		return this.expectedFreeMs;
	}

	// Returns true if a call that is sent now starts at once. A worker may still run a
	// call that timed out here or that another dispatcher sent; a reply shows that it
	// does not.
	boolean isKnownIdle() {
		return this.knownIdle;
	}

	void onAnswer() {
		this.knownIdle = true;
	}

	void onStart(long nowMs, double expectedMs) {
		this.running++;
		this.expectedFreeMs = nowMs + (long) expectedMs;
	}

	void onEnd() {
		this.running--;
	}

	void onCompleted(double tookMs, double expectedMs) {
		this.slowdown += SLOWDOWN_WEIGHT * (tookMs / expectedMs - this.slowdown);
		this.pauseMs = FIRST_PAUSE_MS;
	}

	void onOverdue(double tookMs, double expectedMs) {
		this.slowdown = Math.max(this.slowdown, tookMs / expectedMs);
	}

	void onMemoryFull(long untilMs) {
		this.pausedUntilMs = Math.max(this.pausedUntilMs, untilMs);
	}

	void onFailure(long nowMs) {
		this.knownIdle = false;
		this.pausedUntilMs = nowMs + this.pauseMs;
		this.pauseMs = Math.min(this.pauseMs * 2, MAX_PAUSE_MS);
	}

}
