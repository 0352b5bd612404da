/**
 * Replication of the platform's store to this process: the active configuration, the
 * upstreams, the quarantine and the VMs' records.
 */
@NullMarked
package org.tallycart.node.store;

import org.jspecify.annotations.NullMarked;
