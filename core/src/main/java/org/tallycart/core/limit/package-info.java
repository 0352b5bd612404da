/**
 * Rate limits that hold over all VMs together: the limits of workspaces, and the limits
 * that upstreams state.
 */
@NullMarked
package org.tallycart.core.limit;

import org.jspecify.annotations.NullMarked;
