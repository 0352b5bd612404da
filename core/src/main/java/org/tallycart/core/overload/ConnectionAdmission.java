package org.tallycart.core.overload;

/**
 * Decides whether a VM admits a new connection of a caller. A connection that is not
 * admitted is closed before its request is read, so that its caller tries another VM at
 * once; while the event loop is late, the request would wait.
 * <p>
 * Invariants: no more connections are open than the maximum, and below it at least one
 * connection is admitted each {@link #MIN_ADMISSION_INTERVAL_MS}, since the VM still
 * reports that it is ready. Not thread-safe: confined to the event loop.
 *
 * @since 0.1
 */
public final class ConnectionAdmission {

	/**
	 * Interval at which the event loop has to call {@link #onCheck}, in milliseconds.
	 */
	public static final long CHECK_INTERVAL_MS = 50;

	/** Longest time without an admitted connection under overload, in milliseconds. */
	public static final long MIN_ADMISSION_INTERVAL_MS = 500;

	/**
	 * Delay of the event loop from which on it is overloaded, in milliseconds. A fraction
	 * of the shortest deadlines of callers.
	 */
	private static final long MAX_DELAY_MS = 100;

	/** Delay of a check from which on the event loop is busy, in milliseconds. */
	private static final long BUSY_DELAY_MS = 20;

	/**
	 * Maximum number of connections by which the open ones grow between two checks of a
	 * busy event loop, since their requests delay the next check.
	 */
	private static final int MAX_GROWTH_WHILE_BUSY = 16;

	private static final int UNKNOWN = -1;

	private final int maxConnections;

	private long nextCheckMs;

	private long lastDelayMs;

	private long previousDelayMs;

	private int openAtCheck = UNKNOWN;

	private long lastAdmittedMs;

	/**
	 * Create an admission control.
	 * @param maxConnections maximum number of open connections
	 * @param nowMs the current time on the monotonic clock, in milliseconds
	 */
	public ConnectionAdmission(int maxConnections, long nowMs) {
		this.maxConnections = maxConnections;
		this.nextCheckMs = nowMs + CHECK_INTERVAL_MS;
		// Starting admits nothing, so that a loop which is late from the start still
		// admits the first connection.
		this.lastAdmittedMs = nowMs - MIN_ADMISSION_INTERVAL_MS;
	}

	/**
	 * Record that the event loop ran a check. To be called {@link #CHECK_INTERVAL_MS}
	 * after the one before, or as soon after as the loop gets to it.
	 * @param nowMs the current time on the monotonic clock, in milliseconds
	 */
	public void onCheck(long nowMs) {
		this.previousDelayMs = this.lastDelayMs;
		this.lastDelayMs = Math.max(nowMs - this.nextCheckMs, 0);
		this.nextCheckMs = nowMs + CHECK_INTERVAL_MS;
		this.openAtCheck = UNKNOWN;
	}

	/**
	 * Return for how long the event loop has been late at least.
	 * @param nowMs the current time on the monotonic clock, in milliseconds
	 * @return the shorter delay of the last two checks, of which the next one is the last
	 * as soon as it is late, in milliseconds; a single pause delays one check
	 */
	public long sustainedDelayMs(long nowMs) {
		long overdueMs = nowMs - this.nextCheckMs;
		return Math.max(Math.min(this.previousDelayMs, this.lastDelayMs), Math.min(this.lastDelayMs, overdueMs));
	}

	/**
	 * Decide about a new connection.
	 * @param openConnections the number of connections that are open
	 * @param nowMs the current time on the monotonic clock, in milliseconds
	 * @return true if it is admitted
	 */
	public boolean tryAdmit(int openConnections, long nowMs) {
		if (openConnections >= this.maxConnections) {
			return false;
		}
		if (this.openAtCheck == UNKNOWN) {
			this.openAtCheck = openConnections;
		}
		boolean grownWhileBusy = this.lastDelayMs > BUSY_DELAY_MS
				&& openConnections - this.openAtCheck >= MAX_GROWTH_WHILE_BUSY;
		boolean overloaded = grownWhileBusy || sustainedDelayMs(nowMs) > MAX_DELAY_MS;
		if (overloaded && nowMs - this.lastAdmittedMs < MIN_ADMISSION_INTERVAL_MS) {
			return false;
		}
		this.lastAdmittedMs = nowMs;
		return true;
	}

}
