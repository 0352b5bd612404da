/**
 * Messages between this system's own processes, and the Netty transport that carries
 * them.
 */
@NullMarked
package org.tallycart.wire;

import org.jspecify.annotations.NullMarked;
