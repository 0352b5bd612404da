package org.tallycart.core.fleet;

import java.util.Set;

/**
 * The leader of each role, as one VM sees it.
 * <p>
 * Not thread-safe: belongs to one event loop.
 *
 * @since 0.1
 */
public interface LeaderView {

	/**
	 * Return the leader of a role.
	 * @param role the role
	 * @return the name of the leading VM; this VM's name if no other one is available
	 */
	String leader(LeaderRole role);

	/**
	 * Return how many VMs rank before this one for a role. VMs that have not been sent a
	 * heartbeat request, or may still reply to their first one, are included;
	 * unresponsive VMs are not.
	 * @param role the role
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return the count; 0 if this VM is the leader, or no VM is known
	 */
	int countAhead(LeaderRole role, long nowMs);

	/**
	 * Return the unresponsive VMs that rank before this one for a role and that replied,
	 * or were sent their first heartbeat request, within the last minute. They may be
	 * live and lead other VMs that this VM does not reach. Draining VMs are not included.
	 * @param role the role
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return the names of the VMs
	 */
	Set<String> unresponsiveAhead(LeaderRole role, long nowMs);

	/**
	 * Return whether the leader of a role is known.
	 * @param role the role
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return false while a VM that ranks before the leader may still reply to its first
	 * heartbeat request
	 */
	boolean isLeaderKnown(LeaderRole role, long nowMs);

}
