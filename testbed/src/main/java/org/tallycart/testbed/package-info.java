/**
 * Whole fleets of real processes on one machine, and experiments on them. For development
 * only.
 */
@NullMarked
package org.tallycart.testbed;

import org.jspecify.annotations.NullMarked;
