/**
 * Request outcomes and the tracker that enforces their invariants.
 */
@NullMarked
package org.tallycart.core.outcome;

import org.jspecify.annotations.NullMarked;
