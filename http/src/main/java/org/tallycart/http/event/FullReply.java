package org.tallycart.http.event;

import org.apache.hc.core5.http.HttpResponse;

/**
 * Reply that was read fully.
 *
 * @param head the reply head
 * @param body the reply body
 * @param end how the end of the reply was detected
 * @since 0.1
 */
public record FullReply(HttpResponse head, byte[] body, ReplyEnd end) {
}
