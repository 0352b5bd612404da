/**
 * Workspace limits that hold over all VMs together.
 */
@NullMarked
package org.tallycart.core.limit;

import org.jspecify.annotations.NullMarked;
