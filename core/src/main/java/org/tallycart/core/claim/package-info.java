/**
 * At-most-once execution: idempotency keys, slots with owners and terms, and the claim
 * table of a slot owner.
 */
@NullMarked
package org.tallycart.core.claim;

import org.jspecify.annotations.NullMarked;
