/**
 * Client of the claim protocol for at-most-once execution.
 */
@NullMarked
package org.tallycart.entry.claim;

import org.jspecify.annotations.NullMarked;
