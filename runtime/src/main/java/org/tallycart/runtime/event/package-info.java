/**
 * Numbered events: their catalogue, the log and the timeline in memory.
 */
@NullMarked
package org.tallycart.runtime.event;

import org.jspecify.annotations.NullMarked;
