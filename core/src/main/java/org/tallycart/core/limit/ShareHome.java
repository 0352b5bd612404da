package org.tallycart.core.limit;

import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;
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
public final class ShareHome {

	/** Part of a limit that is set aside for VMs that hear nothing. */
	public static final double SAFE_PART = 0.2;

	/** How long a grant lasts, by the clock of the VM that asked, from when it asked. */
	public static final long GRANT_MS = 3_000;

	/** Added by the home, which hears the request later than it was sent. */
	public static final long GRANT_MARGIN_MS = 1_000;

	private static final double TOLERANCE = 1e-6;

	private static final double HEADROOM = 1.25;

	private final long grantsFromMs;

	private final Map<String, Grant> grants = new HashMap<>();

	private ShareHome(long grantsFromMs) {
		this.grantsFromMs = grantsFromMs;
	}

	/**
	 * Become the home of a workspace.
	 * @param nowMs the monotonic clock now
	 * @return the home
	 */
	public static ShareHome create(long nowMs) {
		return new ShareHome(nowMs + GRANT_MS + GRANT_MARGIN_MS);
	}

	/**
	 * Answer a VM.
	 * @param request what the VM asks
	 * @param limit the workspace's limit over all VMs
	 * @param nowMs the monotonic clock now
	 * @return the rate the VM may use beside its safe share
	 */
	public double grant(ShareRequest request, double limit, long nowMs) {
		double grantable = limit * (1 - SAFE_PART);
		if (nowMs < this.grantsFromMs) {
			return 0;
		}
		this.grants.values().removeIf((grant) -> grant.untilMs <= nowMs);
		Grant old = this.grants.remove(request.vm());
		double others = this.grants.values().stream().mapToDouble((grant) -> grant.counted(nowMs)).sum();
		double demandOfOthers = this.grants.values().stream().mapToDouble((grant) -> grant.demand).sum();
		double demand = request.demandPerSecond();
		double fair = (demand + demandOfOthers > 0) ? grantable * demand / (demand + demandOfOthers) : 0;
		double wanted = Math.min(fair, demand * HEADROOM);
		double rate = Math.max(Math.min(wanted, grantable - others), 0);
		long untilMs = nowMs + GRANT_MS + GRANT_MARGIN_MS;
		this.grants.put(request.vm(), new Grant(rate, demand, untilMs, old));
		InvariantViolation.unless(others + rate <= grantable + TOLERANCE || rate == 0,
				request.workspace() + ": grants exceed the limit");
		return rate;
	}

	/**
	 * A grant, counted at the larger of its rate and the one before it, which the VM may
	 * use until that one lapses: the answer that lowers it can be lost.
	 */
	private static final class Grant {

		private final double latest;

		private final double demand;

		private final long untilMs;

		private final double earlier;

		private final long earlierUntilMs;

		private Grant(double latest, double demand, long untilMs, @Nullable Grant before) {
			this.latest = latest;
			this.demand = demand;
			this.untilMs = untilMs;
			this.earlier = (before != null) ? Math.max(before.latest, before.earlier) : 0;
			this.earlierUntilMs = (before != null && this.earlier > latest)
					? Math.max(before.untilMs, before.earlierUntilMs) : 0;
		}

		private double counted(long nowMs) {
			return (nowMs < this.earlierUntilMs) ? Math.max(this.latest, this.earlier) : this.latest;
		}

	}

}
