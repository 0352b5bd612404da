/**
 * The serving process of a VM: one event loop accepts callers, routes requests, calls
 * upstreams and synchronizes with the platform's store and the other VMs.
 */
@NullMarked
package org.tallycart.node;

import org.jspecify.annotations.NullMarked;
