/**
 * Hybrid logical clock for ordering the events of several processes by causality.
 */
@NullMarked
package org.tallycart.core.time;

import org.jspecify.annotations.NullMarked;
