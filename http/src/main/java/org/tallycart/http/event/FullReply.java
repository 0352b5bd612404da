package org.tallycart.http.event;

import org.apache.hc.core5.http.HttpResponse;

/**
 * A reply that has been read whole.
 *
 * @param head its head
 * @param body its body
 * @since 0.1
 */
public record FullReply(HttpResponse head, byte[] body) {
}
