package org.tallycart.core.fleet;

/**
 * Failure detection for another VM by heartbeats.
 * <p>
 * Not thread-safe: guarded by {@link LeaderTable}.
 */
final class PeerLiveness {

	/** Heartbeat period for the leader of a role, in milliseconds. */
	static final long LEADER_HEARTBEAT_MS = 200;

	/**
	 * Time without a reply after which a leader has failed, in milliseconds. Covers four
	 * heartbeats.
	 */
	static final long LEADER_TIMEOUT_MS = 800;

	/** Heartbeat period for a standby, in milliseconds. */
	static final long STANDBY_HEARTBEAT_MS = 1_000;

	/** Time without a reply after which a standby has failed, in milliseconds. */
	static final long STANDBY_TIMEOUT_MS = 2_500;

	/** Heartbeat period for a failed VM, in milliseconds. */
	static final long FAILED_RETRY_MS = 2_000;

	/** Maximum wait for the first reply of a VM, in milliseconds. */
	static final long FIRST_REPLY_TIMEOUT_MS = 800;

	private static final long NEVER = Long.MIN_VALUE / 2;

	private long incarnation;

	private boolean live;

	private boolean draining;

	private boolean leader;

	private long firstRequestMs = NEVER;

	private long lastRequestMs = NEVER;

	private long lastRoleMs = NEVER;

	private long failureDeadlineMs;

	private long lastReplyMs = NEVER;

	boolean isLive() {
		return this.live;
	}

	// A draining VM is live, but takes no new work.
	boolean isAvailable() {
		return this.live && !this.draining;
	}

	// Returns true before the first request and while its reply may be on the way.
	boolean mayStillReply(long nowMs) {
		return !this.live && (this.firstRequestMs == NEVER || nowMs - this.firstRequestMs < FIRST_REPLY_TIMEOUT_MS);
	}

	// Records that the VM is the leader or a standby of a role.
	void onRole(long nowMs) {
		this.lastRoleMs = nowMs;
	}

	boolean hadRoleSince(long ms) {
		return this.lastRoleMs >= ms;
	}

	// Sets the VM's role, and returns true if a heartbeat request is due.
	boolean startHeartbeatIfDue(boolean asLeader, long nowMs) {
		if (asLeader && !this.leader) {
			this.failureDeadlineMs = Math.min(this.failureDeadlineMs, nowMs + LEADER_TIMEOUT_MS);
			this.lastRequestMs = NEVER;
		}
		if (!asLeader && this.leader) {
			this.failureDeadlineMs = Math.max(this.failureDeadlineMs, nowMs + STANDBY_TIMEOUT_MS);
		}
		this.leader = asLeader;
		if (nowMs - this.lastRequestMs < heartbeatPeriodMs(nowMs)) {
			return false;
		}
		this.lastRequestMs = nowMs;
		if (this.firstRequestMs == NEVER) {
			this.firstRequestMs = nowMs;
		}
		return true;
	}

	// A VM that starts at the same time may not listen yet at its first request, so the
	// first requests are repeated at the shorter period.
	private long heartbeatPeriodMs(long nowMs) {
		if (!this.live) {
			return mayStillReply(nowMs) ? LEADER_HEARTBEAT_MS : FAILED_RETRY_MS;
		}
		return this.leader ? LEADER_HEARTBEAT_MS : STANDBY_HEARTBEAT_MS;
	}

	// Records a reply, and returns true if it comes from a new incarnation.
	boolean onReply(long newIncarnation, boolean isDraining, long nowMs) {
		boolean restarted = this.live && this.incarnation != newIncarnation;
		this.incarnation = newIncarnation;
		this.draining = isDraining;
		this.live = true;
		this.lastReplyMs = nowMs;
		this.failureDeadlineMs = nowMs + (this.leader ? LEADER_TIMEOUT_MS : STANDBY_TIMEOUT_MS);
		return restarted;
	}

	void onDraining() {
		this.draining = true;
	}

	// Returns true for a failed VM that is not draining and that replied, or was sent its
	// first request, after the given time.
	boolean isUnresponsiveSince(long ms) {
		return !this.live && !this.draining && Math.max(this.lastReplyMs, this.firstRequestMs) >= ms;
	}

	boolean hasTimedOut(long nowMs) {
		return this.live && nowMs >= this.failureDeadlineMs;
	}

	void markFailed() {
		this.live = false;
	}

	// Makes a request due at once, to reconnect.
	void resetHeartbeat() {
		this.lastRequestMs = NEVER;
	}

	// A pause of this VM is no evidence of a failure of the other one.
	void extendDeadline(long ms) {
		this.failureDeadlineMs += ms;
	}

}
