package org.tallycart.node.request;

/**
 * How a send to an upstream ended, where it did not end in an answer for the caller.
 *
 * @param kind the kind of ending
 * @param detail a short text for the log
 */
record AttemptFailure(Kind kind, String detail) {

	/** Kinds of ending. */
	enum Kind {

		/** Nothing was sent: no connection. */
		NOT_SENT,
		/** The upstream states that it did not run the request. */
		NOT_RUN,
		/** The upstream did not run it, since stage results that it reads are gone. */
		INPUT_GONE,
		/** It may have run, and there is no usable answer. */
		BROKEN

	}

	boolean mayHaveRun() {
		return this.kind == Kind.BROKEN;
	}

}
