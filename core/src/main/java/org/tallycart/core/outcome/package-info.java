/**
 * The closed set of request outcomes and the ledger that guards them.
 */
@NullMarked
package org.tallycart.core.outcome;

import org.jspecify.annotations.NullMarked;
