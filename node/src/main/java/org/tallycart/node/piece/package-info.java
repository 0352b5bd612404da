/**
 * Execution of stages: the pieces of all VMs go to one dispatcher per pool, which is
 * elected by rendezvous hashing over the live VMs. Pieces may run twice, so duplicate
 * submissions are safe.
 */
@NullMarked
package org.tallycart.node.piece;

import org.jspecify.annotations.NullMarked;
