/**
 * Stage calls: waiting, choice of an upstream, retries, hedges, resumed streams, cost.
 */
@NullMarked
package org.tallycart.entry.stage;

import org.jspecify.annotations.NullMarked;
