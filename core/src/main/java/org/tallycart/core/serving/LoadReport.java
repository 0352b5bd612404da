package org.tallycart.core.serving;

/**
 * What an upstream said of its own load.
 *
 * @param running requests it works on
 * @param waiting requests that wait there
 * @param slots requests it can work on at the same time
 * @since 0.1
 */
public record LoadReport(int running, int waiting, int slots) {
}
