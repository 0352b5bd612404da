package org.tallycart.core.outcome;

/**
 * Why a request ended as it did.
 *
 * @since 0.1
 */
public enum Reason {

	/** The request ended well. */
	OK,
	/** The request itself is malformed. */
	BAD_REQUEST,
	/** The request names a pipeline or workspace that is not declared. */
	NOT_DECLARED,
	/** The idempotency key is malformed or missing. */
	BAD_KEY,
	/** The idempotency key is older than the retention window. */
	KEY_EXPIRED,
	/** The idempotency key was created in the future. */
	KEY_FROM_FUTURE,
	/** The key was created before its slot's present owner took over. */
	KEY_BEFORE_TAKEOVER,
	/** Another request holds the key and its result is not known. */
	KEY_HELD,
	/** The slot of the key has no reachable owner. */
	NO_SLOT_OWNER,
	/** A policy refused the request. */
	POLICY_REFUSED,
	/** A policy shed the request under load. */
	SHED,
	/** The workspace is over its limit. */
	WORKSPACE_LIMIT,
	/** A queue of this VM is full. */
	QUEUE_FULL,
	/** The deadline cannot be met. */
	DEADLINE,
	/** No upstream accepts the call. */
	NO_UPSTREAM,
	/** An upstream answered with an error. */
	UPSTREAM_ERROR,
	/** The connection broke after the call had begun. */
	CONNECTION_LOST,
	/** The VM has no configuration yet, or is draining. */
	NOT_READY,
	/** The caller went away. */
	CALLER_GONE

}
