/**
 * What every process does alike: command line, clocks, start, graceful stop.
 */
@NullMarked
package org.tallycart.runtime.process;

import org.jspecify.annotations.NullMarked;
