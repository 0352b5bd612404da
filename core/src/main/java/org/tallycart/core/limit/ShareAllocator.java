package org.tallycart.core.limit;

import java.util.HashMap;
import java.util.Map;

import org.tallycart.core.outcome.InvariantViolation;

/**
 * Allocates one workspace's limit to VMs by demand. One steward, chosen by rendezvous
 * hash, is the allocator of a workspace.
 * <p>
 * A fraction of the limit is never granted but reserved for VMs without a grant. A new
 * allocator grants nothing until the grants of its predecessor have expired. Invariant:
 * the sum of unexpired grants never exceeds the grantable part of the limit. Not
 * thread-safe.
 *
 * @since 0.1
 */
public final class ShareAllocator {

	/** Fraction of a limit that is reserved for VMs without a grant. */
	public static final double RESERVED_FRACTION = 0.2;

	/**
	 * Duration of a grant from the time of its request, by the requesting VM's clock, in
	 * milliseconds.
	 */
	public static final long GRANT_DURATION_MS = 3_000;

	/**
	 * Margin that the allocator adds to the duration, since it receives a request later
	 * than it was sent, in milliseconds.
	 */
	public static final long GRANT_MARGIN_MS = 1_000;

	private static final double TOLERANCE = 1e-6;

	/**
	 * Factor by which a grant may exceed the reported demand, so that rising demand is
	 * detected.
	 */
	static final double HEADROOM_FACTOR = 1.25;

	private final long firstGrantMs;

	private final Map<String, Grant> grants = new HashMap<>();

	private ShareAllocator(long firstGrantMs) {
		this.firstGrantMs = firstGrantMs;
	}

	/**
	 * Create the allocator of a workspace.
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return the allocator
	 */
	public static ShareAllocator create(long nowMs) {
		return new ShareAllocator(nowMs + GRANT_DURATION_MS + GRANT_MARGIN_MS);
	}

	/**
	 * Allocate a share of the limit to a VM.
	 * @param request the request of the VM
	 * @param limit the workspace's limit over all VMs, in requests per second
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return the rate that the VM may use in addition to its part of the reserved
	 * fraction, in requests per second
	 */
	public double allocate(ShareRequest request, double limit, long nowMs) {
		double grantable = limit * (1 - RESERVED_FRACTION);
		if (nowMs < this.firstGrantMs) {
			return 0;
		}
		this.grants.values().removeIf((grant) -> grant.expiresMs <= nowMs);
		this.grants.remove(request.vm());
		double others = this.grants.values().stream().mapToDouble(Grant::counted).sum();
		double demandOfOthers = this.grants.values().stream().mapToDouble(Grant::demand).sum();
		double demand = request.demandPerSecond();
		double fairShare = (demand + demandOfOthers > 0) ? grantable * demand / (demand + demandOfOthers) : 0;
		double wanted = Math.min(Math.max(fairShare, grantable - others), demand * HEADROOM_FACTOR);
		double rate = Math.max(Math.min(wanted, grantable - others), 0);
		// The reply can be lost; the VM then continues to use its current grant.
		double counted = Math.max(rate, request.holdsPerSecond());
		this.grants.put(request.vm(), new Grant(counted, demand, nowMs + GRANT_DURATION_MS + GRANT_MARGIN_MS));
		InvariantViolation.check(others + rate <= grantable + TOLERANCE || rate == 0,
				request.workspace() + ": grants exceed the limit");
		return rate;
	}

	/** An unexpired grant; rates are in requests per second. */
	private record Grant(double counted, double demand, long expiresMs) {
	}

}
