/**
 * Non-blocking HTTP/1.1 on one event loop: HttpCore parses messages, Netty does the I/O.
 * Classes of this package are confined to the event loop of their channel.
 */
@NullMarked
package org.tallycart.http.event;

import org.jspecify.annotations.NullMarked;
