package org.tallycart.entry.caller;

import java.util.Optional;

import org.tallycart.core.claim.IdempotencyKey;

/**
 * A caller's request, checked.
 *
 * @param id names the request in events and answers
 * @param workspace its workspace
 * @param pipeline its pipeline
 * @param label the caller's label of the kind of work; may be empty
 * @param deadlineMs time it may take; 0 for the pipeline's own deadline
 * @param repeatable whether its stage calls may be repeated
 * @param key its idempotency key; always there if it is not repeatable
 * @param firstSubmission whether the caller says that the key was never submitted before
 * @param stream whether the answer is to be streamed
 * @param input the question
 * @param maxTokens tokens to generate, at most
 * @since 0.1
 */
public record CallerRequest(String id, String workspace, String pipeline, String label, long deadlineMs,
		boolean repeatable, Optional<IdempotencyKey> key, boolean firstSubmission, boolean stream, String input,
		int maxTokens) {
}
