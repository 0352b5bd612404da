/**
 * Netty transport for messages between the processes of this system.
 */
@NullMarked
package org.tallycart.wire;

import org.jspecify.annotations.NullMarked;
