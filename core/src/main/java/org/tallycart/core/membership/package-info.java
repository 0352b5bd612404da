/**
 * Members of the fleet, their incarnations, and rendezvous hashing over them.
 */
@NullMarked
package org.tallycart.core.membership;

import org.jspecify.annotations.NullMarked;
