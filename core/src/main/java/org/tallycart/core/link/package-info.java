/**
 * The links of a VM to the upstreams. Reads no clock and opens no socket. A VM whose own
 * links have all failed is told apart from upstreams that have failed.
 */
@NullMarked
package org.tallycart.core.link;

import org.jspecify.annotations.NullMarked;
