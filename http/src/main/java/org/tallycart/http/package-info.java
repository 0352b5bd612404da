/**
 * Blocking HTTP on HttpCore: client connections whose failures state whether a byte of
 * the call may have been sent, and a server with a limited number of connections.
 */
@NullMarked
package org.tallycart.http;

import org.jspecify.annotations.NullMarked;
