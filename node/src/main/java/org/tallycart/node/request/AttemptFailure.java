package org.tallycart.node.request;

/**
 * Reason why an attempt has no reply for the caller.
 *
 * @param kind the kind of failure
 * @param detail a short text for the log
 */
record AttemptFailure(Kind kind, String detail) {

	/** Kinds of failure. */
	enum Kind {

		/** The upstream could not be connected to; nothing was sent. */
		NOT_SENT,
		/** The upstream reports that it did not run the request. */
		NOT_RUN,
		/** The upstream did not run the request: its stage results no longer exist. */
		INPUT_GONE,
		/** The request may have run, but there is no usable reply. */
		BROKEN,
		/** The request may have run, but the reply exceeds a limit. */
		LIMIT_EXCEEDED

	}

	boolean mayHaveRun() {
		return this.kind == Kind.BROKEN || this.kind == Kind.LIMIT_EXCEEDED;
	}

	/**
	 * Return whether the upstream may have crashed while it ran the request. One whose
	 * reply exceeds a limit was still sending.
	 * @return true if it may have crashed
	 */
	boolean mayBeCrash() {
		return this.kind == Kind.BROKEN;
	}

}
