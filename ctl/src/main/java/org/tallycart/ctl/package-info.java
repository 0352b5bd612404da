/**
 * The operators' command line.
 */
@NullMarked
package org.tallycart.ctl;

import org.jspecify.annotations.NullMarked;
