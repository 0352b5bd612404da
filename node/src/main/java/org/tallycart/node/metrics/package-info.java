/**
 * Counters and histograms of the serving process, and the address that shows them.
 */
@NullMarked
package org.tallycart.node.metrics;

import org.jspecify.annotations.NullMarked;
