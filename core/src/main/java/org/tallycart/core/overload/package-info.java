/**
 * Protection of a VM against more work than it can do. Reads no clock and opens no
 * socket. Guarantee: a VM that is overloaded by new connections serves those that it
 * accepts and leaves the others, unread, to other VMs; see
 * {@code ConnectionAdmissionTests}.
 */
@NullMarked
package org.tallycart.core.overload;

import org.jspecify.annotations.NullMarked;
