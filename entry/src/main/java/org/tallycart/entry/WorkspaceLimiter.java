package org.tallycart.entry;

import java.util.HashMap;
import java.util.Map;

import org.tallycart.core.declaration.Workspace;
import org.tallycart.core.limit.ShareLimiter;
import org.tallycart.core.limit.ShareRequest;
import org.tallycart.entry.state.EntryState;
import org.tallycart.entry.state.StewardClient;
import org.tallycart.runtime.process.Clocks;
import org.tallycart.wire.message.ShareDemand;
import org.tallycart.wire.message.ShareGrant;
import org.tallycart.wire.message.ShareReport;

/**
 * Limits requests per workspace to this VM's share of the workspace's limits.
 * <p>
 * Thread-safe.
 *
 * @since 0.1
 */
final class WorkspaceLimiter {

	private static final double IDLE_DEMAND_PER_SECOND = 0.01;

	private final Map<String, ShareLimiter> rateLimiters = new HashMap<>();

	private final Map<String, Integer> inFlight = new HashMap<>();

	private long retryAfterMs;

	/**
	 * Acquire a permit for a request, if the limits of its workspace allow.
	 * @param workspace the workspace
	 * @param state the current state of the fleet
	 * @return whether the request is admitted; if so, {@link #release} must be called
	 * when it ends
	 */
	synchronized boolean tryAcquire(Workspace workspace, EntryState state) {
		long nowMs = Clocks.SYSTEM.monotonicMs();
		int running = this.inFlight.getOrDefault(workspace.id(), 0);
		if (workspace.concurrency() > 0 && running >= Math.max(workspace.concurrency() / state.activeVms(), 1)) {
			this.retryAfterMs = 100;
			return false;
		}
		if (workspace.requestsPerSecond() > 0) {
			ShareLimiter limiter = this.rateLimiters.computeIfAbsent(workspace.id(),
					(key) -> ShareLimiter.create(nowMs));
			if (!limiter.tryAcquire(workspace.requestsPerSecond(), state.activeVms(), nowMs)) {
				this.retryAfterMs = limiter.retryAfterMs();
				return false;
			}
		}
		this.inFlight.put(workspace.id(), running + 1);
		return true;
	}

	synchronized void release(Workspace workspace) {
		this.inFlight.computeIfPresent(workspace.id(), (key, running) -> (running > 1) ? running - 1 : null);
	}

	synchronized long retryAfterMs() {
		return this.retryAfterMs;
	}

	/**
	 * Report demand to the steward and apply the grants in its reply. Called
	 * periodically.
	 * @param steward the client of the steward
	 */
	void reportDemand(StewardClient steward) {
		long requestedMs = Clocks.SYSTEM.monotonicMs();
		ShareReport report = createReport(steward.state(), requestedMs);
		if (report.getDemandsCount() == 0) {
			return;
		}
		steward.requestShares(report).thenAccept((reply) -> reply.peek((message) -> {
			for (ShareGrant grant : message.getShareAnswer().getGrantsList()) {
				applyGrant(grant, requestedMs);
			}
		}));
	}

	private synchronized ShareReport createReport(EntryState state, long nowMs) {
		ShareReport.Builder report = ShareReport.newBuilder();
		this.rateLimiters.entrySet().removeIf((entry) -> {
			Workspace workspace = state.declarations().workspaces().get(entry.getKey());
			ShareRequest request = entry.getValue().createRequest(entry.getKey(), "", nowMs);
			if (workspace == null || request.demandPerSecond() < IDLE_DEMAND_PER_SECOND) {
				return true;
			}
			report.addDemands(ShareDemand.newBuilder()
				.setWorkspace(workspace.id())
				.setDemandPerSecond(request.demandPerSecond())
				.setHoldsPerSecond(request.holdsPerSecond())
				.setLimitPerSecond(workspace.requestsPerSecond()));
			return false;
		});
		return report.build();
	}

	private synchronized void applyGrant(ShareGrant grant, long requestedMs) {
		ShareLimiter limiter = this.rateLimiters.get(grant.getWorkspace());
		if (limiter != null) {
			limiter.onGrant(grant.getRatePerSecond(), requestedMs);
		}
	}

}
