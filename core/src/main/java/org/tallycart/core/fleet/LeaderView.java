package org.tallycart.core.fleet;

import java.util.Set;

/**
 * Who holds each duty, as one VM sees it.
 * <p>
 * Not thread-safe: belongs to one event loop.
 *
 * @since 0.1
 */
public interface LeaderView {

	/**
	 * Return the VM that holds a duty.
	 * @param duty the duty
	 * @return the VM's name; this VM's if it knows no other that works
	 */
	String leader(LeaderRole duty);

	/**
	 * Return how many VMs come before this one for a duty. Those that were not asked
	 * whether they live, or may answer yet, are counted; those that did not answer are
	 * not.
	 * @param duty the duty
	 * @param nowMs the steady clock
	 * @return the count; 0 if this VM holds the duty, or knows of no VM
	 */
	int countAhead(LeaderRole duty, long nowMs);

	/**
	 * Return the VMs that come before this one for a duty and do not answer, though they
	 * did, or were asked first, within the last minute: they may live, and hold the duty
	 * for others that this VM does not reach. Those that told that they leave are not
	 * among them.
	 * @param duty the duty
	 * @param nowMs the steady clock
	 * @return their names
	 */
	Set<String> unresponsiveAhead(LeaderRole duty, long nowMs);

	/**
	 * Return whether it is known who holds a duty.
	 * @param duty the duty
	 * @param nowMs the steady clock
	 * @return false while a VM that would come before the holder may answer its first
	 * question yet
	 */
	boolean isLeaderKnown(LeaderRole duty, long nowMs);

}
