/**
 * HTTP/1.1 on one event loop: HttpCore parses messages, Netty carries bytes. All classes
 * of this package belong to the event loop of their channel.
 */
@NullMarked
package org.tallycart.http.event;

import org.jspecify.annotations.NullMarked;
