/**
 * One caller's request, from its arrival to its answer. Promises kept here: a request
 * that may not be repeated runs at most once, a refusal that says "not run" is true, and
 * an answer that is not whole does not look whole; tests are in {@code RequestFlowTests}
 * and {@code EventSplitterTests}.
 */
@NullMarked
package org.tallycart.node.request;

import org.jspecify.annotations.NullMarked;
