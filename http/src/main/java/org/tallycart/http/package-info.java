/**
 * Blocking HTTP on HttpCore: client connections whose failures say whether a byte may
 * have left, and a bounded listener.
 */
@NullMarked
package org.tallycart.http;

import org.jspecify.annotations.NullMarked;
