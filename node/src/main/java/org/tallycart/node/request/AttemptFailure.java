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
		BROKEN

	}

	boolean mayHaveRun() {
		return this.kind == Kind.BROKEN;
	}

}
