/**
 * Stage work: pieces of all VMs meet at one dispatcher a pool, which is chosen by
 * rendezvous hash over the live VMs. A piece may be made twice, so a doubled ask is safe.
 */
@NullMarked
package org.tallycart.node.piece;

import org.jspecify.annotations.NullMarked;
