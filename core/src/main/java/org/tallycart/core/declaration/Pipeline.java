package org.tallycart.core.declaration;

import java.util.List;

/**
 * A named sequence of stages.
 *
 * @param id the name
 * @param stages the services, in order
 * @param deadlineMs the deadline where a request names none
 * @param maxAttempts attempts at one stage call, at most
 * @param policy the policy that governs it; may be empty
 * @param topDocuments how many documents go to generation
 * @since 0.1
 */
public record Pipeline(String id, List<String> stages, long deadlineMs, int maxAttempts, String policy,
		int topDocuments) {
}
