/**
 * Processing of callers' requests, from arrival to response.
 * <p>
 * Guarantees: a request that is not repeatable runs at most once, a "not run" response is
 * sent only if the request has not run, and an incomplete response is never presented as
 * complete.
 */
@NullMarked
package org.tallycart.node.request;

import org.jspecify.annotations.NullMarked;
