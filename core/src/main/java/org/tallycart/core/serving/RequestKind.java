package org.tallycart.core.serving;

/**
 * Retry semantics of a request.
 *
 * @since 0.1
 */
public enum RequestKind {

	/** Can be executed more than once. */
	IDEMPOTENT,
	/** Must be executed at most once. */
	NON_IDEMPOTENT,
	/** Answered by an event stream; can be retried only if the stream is resumable. */
	STREAMING

}
