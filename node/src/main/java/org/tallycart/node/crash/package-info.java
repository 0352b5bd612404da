/**
 * Detection of upstreams that crash while they run requests, and of the requests that may
 * have crashed them.
 */
@NullMarked
package org.tallycart.node.crash;

import org.jspecify.annotations.NullMarked;
