package org.tallycart.core.serving;

/**
 * The load that an upstream reports about itself.
 *
 * @param running number of requests being processed
 * @param waiting number of queued requests
 * @param slots number of requests it can process concurrently
 * @since 0.1
 */
public record LoadReport(int running, int waiting, int slots) {
}
