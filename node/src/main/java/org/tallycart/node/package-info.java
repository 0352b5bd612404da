/**
 * The serving process of a VM: one event loop accepts callers, decides, calls upstreams
 * and keeps in step with the platform's store and with the other VMs.
 */
@NullMarked
package org.tallycart.node;

import org.jspecify.annotations.NullMarked;
