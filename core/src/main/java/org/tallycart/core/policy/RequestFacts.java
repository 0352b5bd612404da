package org.tallycart.core.policy;

/**
 * What a policy may know of a request.
 *
 * @param workspace its workspace
 * @param pipeline its pipeline
 * @param label the caller's label of the kind of work, such as {@code courier}; may be
 * empty
 * @param repeatable whether its calls may be repeated
 * @param remainingMs time left to its deadline, in milliseconds
 * @param maxTokens tokens it asks for, at most
 * @since 0.1
 */
public record RequestFacts(String workspace, String pipeline, String label, boolean repeatable, long remainingMs,
		long maxTokens) {
}
