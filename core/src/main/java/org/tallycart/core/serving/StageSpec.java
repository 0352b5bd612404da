package org.tallycart.core.serving;

import java.util.List;

/**
 * Configuration of a stage that has to be completed before a request can run.
 *
 * @param service the pool that executes the stage
 * @param dependsOn numbers of the stages whose results are its inputs
 * @param resultBytes approximate size of one result, in bytes
 * @since 0.1
 */
public record StageSpec(String service, List<Integer> dependsOn, long resultBytes) {
}
