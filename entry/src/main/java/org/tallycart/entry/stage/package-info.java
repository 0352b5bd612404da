/**
 * Stage calls: queueing, upstream selection, retries, hedging, resumed streams and cost.
 */
@NullMarked
package org.tallycart.entry.stage;

import org.jspecify.annotations.NullMarked;
