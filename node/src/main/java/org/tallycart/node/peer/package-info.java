/**
 * Communication between VMs: connections, failure detection and distribution of notices.
 */
@NullMarked
package org.tallycart.node.peer;

import org.jspecify.annotations.NullMarked;
