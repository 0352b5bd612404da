/**
 * Structured log lines of the serving process, on standard output.
 */
@NullMarked
package org.tallycart.node.log;

import org.jspecify.annotations.NullMarked;
