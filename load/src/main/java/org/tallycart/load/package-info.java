/**
 * Open-loop load with checked answers, and its report.
 */
@NullMarked
package org.tallycart.load;

import org.jspecify.annotations.NullMarked;
