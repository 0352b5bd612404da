package org.tallycart.entry.stage;

import io.vavr.control.Either;
import org.tallycart.core.declaration.Upstream;

/**
 * Result of one attempt at a stage call.
 *
 * @param number number of the attempt within the request
 * @param upstream the upstream called
 * @param outcome the data with the stage's result, or the failure
 * @since 0.1
 */
record AttemptResult(int number, Upstream upstream, Either<AttemptFailure, PipelineData> outcome) {
}
