package org.tallycart.core.serving;

import java.util.List;

/**
 * Work that has to be done before a request can run.
 *
 * @param service the pool that does it
 * @param dependsOn numbers of the stages whose results it needs
 * @param resultBytes the approximate size of one result
 * @since 0.1
 */
public record StageSpec(String service, List<Integer> dependsOn, long resultBytes) {
}
