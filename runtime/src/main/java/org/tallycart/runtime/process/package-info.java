/**
 * Process lifecycle shared by all programs: command line, clocks, start, graceful stop
 * and failure handling.
 */
@NullMarked
package org.tallycart.runtime.process;

import org.jspecify.annotations.NullMarked;
