package org.tallycart.entry.caller;

import java.util.Optional;

import org.tallycart.core.claim.IdempotencyKey;

/**
 * Validated request of a caller.
 *
 * @param id id of the request in events and responses
 * @param workspace id of the workspace
 * @param pipeline id of the pipeline
 * @param label the caller's label for the kind of work; may be empty
 * @param deadlineMs maximum duration, in milliseconds; 0 for the pipeline's deadline
 * @param repeatable whether its stage calls may be retried
 * @param key the idempotency key; present if the request is not repeatable
 * @param firstSubmission whether the caller states that the key was never submitted
 * before
 * @param stream whether the response is streamed
 * @param input the input text
 * @param maxTokens maximum number of tokens to generate
 * @since 0.1
 */
public record CallerRequest(String id, String workspace, String pipeline, String label, long deadlineMs,
		boolean repeatable, Optional<IdempotencyKey> key, boolean firstSubmission, boolean stream, String input,
		int maxTokens) {
}
