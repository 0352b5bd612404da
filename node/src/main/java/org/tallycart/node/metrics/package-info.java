/**
 * Counters and histograms of the serving process, and the HTTP handler that exposes them.
 */
@NullMarked
package org.tallycart.node.metrics;

import org.jspecify.annotations.NullMarked;
