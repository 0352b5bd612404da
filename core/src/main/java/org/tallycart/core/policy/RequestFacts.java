package org.tallycart.core.policy;

/**
 * The facts about a request, as input of a policy.
 *
 * @param workspace workspace of the request
 * @param pipeline pipeline of the request
 * @param label label set by the caller for the kind of work, such as {@code courier}; may
 * be empty
 * @param repeatable whether its calls may be repeated
 * @param remainingMs time left until the deadline, in milliseconds
 * @param maxTokens maximum number of tokens requested
 * @since 0.1
 */
public record RequestFacts(String workspace, String pipeline, String label, boolean repeatable, long remainingMs,
		long maxTokens) {
}
