/**
 * Open-loop load generator that verifies every response, and its report.
 */
@NullMarked
package org.tallycart.load;

import org.jspecify.annotations.NullMarked;
