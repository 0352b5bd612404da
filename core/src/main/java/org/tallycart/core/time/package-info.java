/**
 * Hybrid logical time, so that events of many processes sort by cause and effect.
 */
@NullMarked
package org.tallycart.core.time;

import org.jspecify.annotations.NullMarked;
