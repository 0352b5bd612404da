package org.tallycart.core.outcome;

/**
 * Reason for the outcome of a request.
 *
 * @since 0.1
 */
public enum Reason {

	/** The request was successful. */
	OK,
	/** The request is malformed. */
	BAD_REQUEST,
	/** The request names a pipeline or workspace that is not declared. */
	NOT_DECLARED,
	/** The idempotency key is malformed or missing. */
	BAD_KEY,
	/** The idempotency key is older than the retention window. */
	KEY_EXPIRED,
	/** The idempotency key was created in the future. */
	KEY_FROM_FUTURE,
	/** The idempotency key was created before the current owner of its slot took over. */
	KEY_BEFORE_TAKEOVER,
	/** Another request holds the key and its result is unknown. */
	KEY_HELD,
	/** The slot of the key has no reachable owner. */
	NO_SLOT_OWNER,
	/** A policy refused the request. */
	POLICY_REFUSED,
	/** A policy shed the request under load. */
	SHED,
	/** The workspace has exceeded its limit. */
	WORKSPACE_LIMIT,
	/** A queue of this VM is full. */
	QUEUE_FULL,
	/** The deadline cannot be met. */
	DEADLINE,
	/** No upstream accepts the call. */
	NO_UPSTREAM,
	/** An upstream replied with an error. */
	UPSTREAM_ERROR,
	/** The connection was lost after the call had begun. */
	CONNECTION_LOST,
	/** The VM has no configuration yet, or is draining. */
	NOT_READY,
	/** The caller closed its connection. */
	CALLER_GONE

}
