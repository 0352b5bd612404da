/**
 * Knowledge of where streams began, shared by all VMs, so that a stream goes on at the
 * software version that began it.
 */
@NullMarked
package org.tallycart.node.stream;

import org.jspecify.annotations.NullMarked;
