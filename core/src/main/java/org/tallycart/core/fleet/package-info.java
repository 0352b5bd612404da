/**
 * Leader election for roles such as dispatching a stage pool, failure detection between
 * VMs, and the choice of each VM's source of the store's contents. Reads no clock and
 * opens no socket. A VM uses only leaders that reply, and a failed leader is replaced
 * within a second.
 */
@NullMarked
package org.tallycart.core.fleet;

import org.jspecify.annotations.NullMarked;
