/**
 * What an entry knows of the fleet, as its steward tells it.
 */
@NullMarked
package org.tallycart.entry.state;

import org.jspecify.annotations.NullMarked;
