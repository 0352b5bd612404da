/**
 * The other VMs: who they are, which of them are heard, and messages between them.
 */
@NullMarked
package org.tallycart.node.peer;

import org.jspecify.annotations.NullMarked;
