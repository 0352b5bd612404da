package org.tallycart.core.declaration;

import java.util.List;

/**
 * A named sequence of stages.
 *
 * @param id name of the pipeline
 * @param stages names of the services, in order
 * @param deadlineMs default deadline of a request, in milliseconds
 * @param maxAttempts maximum number of attempts at a stage call
 * @param policy name of the policy for the pipeline; may be empty
 * @param topDocuments number of documents passed to generation
 * @since 0.1
 */
public record Pipeline(String id, List<String> stages, long deadlineMs, int maxAttempts, String policy,
		int topDocuments) {
}
