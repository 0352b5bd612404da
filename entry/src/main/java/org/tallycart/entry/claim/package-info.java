/**
 * The entry's side of at-most-once execution.
 */
@NullMarked
package org.tallycart.entry.claim;

import org.jspecify.annotations.NullMarked;
