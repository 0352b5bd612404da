/**
 * Local fleets of real processes on one machine, and benchmarks and experiments on them.
 * For development only.
 */
@NullMarked
package org.tallycart.testbed;

import org.jspecify.annotations.NullMarked;
