/**
 * State of the fleet, replicated from the steward.
 */
@NullMarked
package org.tallycart.entry.state;

import org.jspecify.annotations.NullMarked;
