package org.tallycart.core.limit;

import java.util.HashMap;
import java.util.Map;

import org.tallycart.core.outcome.InvariantViolation;

/**
 * Divides one workspace's limit among VMs by demand. One steward, chosen by rendezvous
 * hash, is the home of a workspace.
 * <p>
 * A part of the limit is never granted: it is what VMs that hear nothing may use. A new
 * home grants nothing until grants of an earlier home have lapsed. Invariant: unlapsed
 * grants never add up to more than the grantable part. Not thread-safe.
 *
 * @since 0.1
 */
public final class ShareAllocator {

	/** Part of a limit that is set aside for VMs that hear nothing. */
	public static final double SAFE_PART = 0.2;

	/** How long a grant lasts, by the clock of the VM that asked, from when it asked. */
	public static final long GRANT_MS = 3_000;

	/** Added by the home, which hears the request later than it was sent. */
	public static final long GRANT_MARGIN_MS = 1_000;

	private static final double TOLERANCE = 1e-6;

	/** Grants go beyond the demand reported, so that it can be seen to rise. */
	static final double HEADROOM = 1.25;

	private final long grantsFromMs;

	private final Map<String, Grant> grants = new HashMap<>();

	private ShareAllocator(long grantsFromMs) {
		this.grantsFromMs = grantsFromMs;
	}

	/**
	 * Become the home of a workspace.
	 * @param nowMs the monotonic clock now
	 * @return the home
	 */
	public static ShareAllocator create(long nowMs) {
		return new ShareAllocator(nowMs + GRANT_MS + GRANT_MARGIN_MS);
	}

	/**
	 * Answer a VM.
	 * @param request what the VM asks
	 * @param limit the workspace's limit over all VMs
	 * @param nowMs the monotonic clock now
	 * @return the rate the VM may use beside its safe share
	 */
	public double allocate(ShareRequest request, double limit, long nowMs) {
		double grantable = limit * (1 - SAFE_PART);
		if (nowMs < this.grantsFromMs) {
			return 0;
		}
		this.grants.values().removeIf((grant) -> grant.untilMs <= nowMs);
		this.grants.remove(request.vm());
		double others = this.grants.values().stream().mapToDouble(Grant::counted).sum();
		double demandOfOthers = this.grants.values().stream().mapToDouble(Grant::demand).sum();
		double demand = request.demandPerSecond();
		double fair = (demand + demandOfOthers > 0) ? grantable * demand / (demand + demandOfOthers) : 0;
		double wanted = Math.min(Math.max(fair, grantable - others), demand * HEADROOM);
		double rate = Math.max(Math.min(wanted, grantable - others), 0);
		// The answer can be lost, and then the VM goes on with what it holds.
		double counted = Math.max(rate, request.holdsPerSecond());
		this.grants.put(request.vm(), new Grant(counted, demand, nowMs + GRANT_MS + GRANT_MARGIN_MS));
		InvariantViolation.check(others + rate <= grantable + TOLERANCE || rate == 0,
				request.workspace() + ": grants exceed the limit");
		return rate;
	}

	/** An unlapsed grant. */
	private record Grant(double counted, double demand, long untilMs) {
	}

}
