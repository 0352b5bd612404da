/**
 * Which VM of the fleet holds a duty for others, such as dispatching a stage pool, and
 * which VMs a VM keeps in touch with for that. Reads no clock and opens no socket.
 * Promise kept: a VM asks only VMs that answer it, and a lost one is replaced within a
 * second. Tests are in {@code DutyTableTests}.
 */
@NullMarked
package org.tallycart.core.fleet;

import org.jspecify.annotations.NullMarked;
