package org.tallycart.core.upstream;

/**
 * How much of its share of a retry budget a VM uses, within the window.
 * <p>
 * Immutable and thread-safe.
 *
 * @param retries retries that count, sent or not sent yet
 * @param allowed retries that are allowed
 * @param arrivals first attempts that count
 * @param sharingVms the number of VMs by which the slack is divided;
 * {@link Integer#MAX_VALUE} if the VM has no share of it
 * @since 0.1
 */
public record RetryUsage(int retries, double allowed, int arrivals, int sharingVms) {

	/**
	 * Return whether the VM has a share of the slack.
	 * @return false just after its start, and while it does not know how many VMs there
	 * are
	 */
	public boolean hasSlack() {
		return this.sharingVms != SharingVms.NO_SHARE;
	}

}
