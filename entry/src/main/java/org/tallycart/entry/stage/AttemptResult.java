package org.tallycart.entry.stage;

import io.vavr.control.Either;
import org.tallycart.core.declaration.Upstream;

/**
 * How one attempt at a stage call ended.
 *
 * @param number the attempt within the request
 * @param upstream where it went
 * @param outcome the data with the stage's result, or why there is none
 * @since 0.1
 */
record AttemptResult(int number, Upstream upstream, Either<AttemptFailure, PipelineData> outcome) {
}
