/**
 * At-most-once execution: idempotency keys, slots, terms and the claim table of a slot's
 * owner.
 */
@NullMarked
package org.tallycart.core.claim;

import org.jspecify.annotations.NullMarked;
