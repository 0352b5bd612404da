package org.tallycart.core.serving;

/**
 * What may be repeated of a request.
 *
 * @since 0.1
 */
public enum RequestKind {

	/** May run more than once. */
	IDEMPOTENT,
	/** May run at most once. */
	NON_IDEMPOTENT,
	/** Answered by a stream of events; may run again only where it can be resumed. */
	STREAMING

}
