package org.tallycart.core.fleet;

/**
 * What a VM knows of its path to another one.
 * <p>
 * Not thread-safe: guarded by {@link LeaderTable}.
 */
final class PeerLiveness {

	/** Time between two questions to the holder of a duty, in milliseconds. */
	static final long HOLDER_PERIOD_MS = 200;

	/**
	 * A holder that does not answer for this long is lost, in milliseconds: four
	 * questions.
	 */
	static final long HOLDER_SILENCE_MS = 800;

	/** Time between two questions to the next in rank, in milliseconds. */
	static final long SPARE_PERIOD_MS = 1_000;

	/** A spare that does not answer for this long is lost, in milliseconds. */
	static final long SPARE_SILENCE_MS = 2_500;

	/** Time between two tries to reach a VM that is lost, in milliseconds. */
	static final long RETRY_MS = 2_000;

	/** How long the first answer of a VM is waited for, in milliseconds. */
	static final long FIRST_ANSWER_MS = 800;

	private static final long NEVER = Long.MIN_VALUE / 2;

	private long incarnation;

	private boolean live;

	private boolean draining;

	private boolean holder;

	private long firstAskedMs = NEVER;

	private long askedMs = NEVER;

	private long rankedMs = NEVER;

	private long lostAtMs;

	private long answeredMs = NEVER;

	boolean live() {
		return this.live;
	}

	// Whether the VM can take work.
	boolean working() {
		return this.live && !this.draining;
	}

	// Whether it was asked for the first time so lately that its answer may be on the
	// way.
	boolean mayAnswerYet(long nowMs) {
		return !this.live && (this.firstAskedMs == NEVER || nowMs - this.firstAskedMs < FIRST_ANSWER_MS);
	}

	// Takes note that it holds a duty, or is next in rank.
	void onRole(long nowMs) {
		this.rankedMs = nowMs;
	}

	boolean wantedSince(long ms) {
		return this.rankedMs >= ms;
	}

	// Takes a role, and tells whether a question is due.
	boolean ask(boolean asHolder, long nowMs) {
		if (asHolder && !this.holder) {
			this.lostAtMs = Math.min(this.lostAtMs, nowMs + HOLDER_SILENCE_MS);
			this.askedMs = NEVER;
		}
		if (!asHolder && this.holder) {
			this.lostAtMs = Math.max(this.lostAtMs, nowMs + SPARE_SILENCE_MS);
		}
		this.holder = asHolder;
		if (nowMs - this.askedMs < periodMs(nowMs)) {
			return false;
		}
		this.askedMs = nowMs;
		if (this.firstAskedMs == NEVER) {
			this.firstAskedMs = nowMs;
		}
		return true;
	}

	// A VM that starts beside this one may not listen yet when it is first asked.
	private long periodMs(long nowMs) {
		if (!this.live) {
			return mayAnswerYet(nowMs) ? HOLDER_PERIOD_MS : RETRY_MS;
		}
		return this.holder ? HOLDER_PERIOD_MS : SPARE_PERIOD_MS;
	}

	// Takes an answer, and tells whether it comes from a new incarnation.
	boolean onAnswer(long fresh, boolean drains, long nowMs) {
		boolean restarted = this.live && this.incarnation != fresh;
		this.incarnation = fresh;
		this.draining = drains;
		this.live = true;
		this.answeredMs = nowMs;
		this.lostAtMs = nowMs + (this.holder ? HOLDER_SILENCE_MS : SPARE_SILENCE_MS);
		return restarted;
	}

	void onDraining() {
		this.draining = true;
	}

	// Whether it does not answer, without having told that it leaves, though it did, or
	// was asked first, since then.
	boolean silentSince(long ms) {
		return !this.live && !this.draining && Math.max(this.answeredMs, this.firstAskedMs) >= ms;
	}

	boolean silent(long nowMs) {
		return this.live && nowMs >= this.lostAtMs;
	}

	void lose() {
		this.live = false;
	}

	// A question is due at once, as the connection has to be made anew.
	void askSoon() {
		this.askedMs = NEVER;
	}

	// Time in which this VM itself stood still says nothing about the other one.
	void forgive(long ms) {
		this.lostAtMs += ms;
	}

}
