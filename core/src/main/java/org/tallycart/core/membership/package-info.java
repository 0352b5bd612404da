/**
 * Fleet membership: VMs, incarnations of their processes, and rendezvous hashing.
 */
@NullMarked
package org.tallycart.core.membership;

import org.jspecify.annotations.NullMarked;
