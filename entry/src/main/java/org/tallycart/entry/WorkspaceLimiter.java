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
 * This VM's share of each workspace's limits.
 * <p>
 * Thread-safe.
 *
 * @since 0.1
 */
final class WorkspaceLimiter {

	private static final double IDLE_DEMAND = 0.01;

	private final Map<String, ShareLimiter> rates = new HashMap<>();

	private final Map<String, Integer> inFlight = new HashMap<>();

	private long retryAfterMs;

	/**
	 * Let a request in, if its workspace's limits allow.
	 * @param workspace the workspace
	 * @param state the state of the fleet
	 * @return whether it may enter; if so, {@link #release} must follow
	 */
	synchronized boolean tryAcquire(Workspace workspace, EntryState state) {
		long nowMs = Clocks.SYSTEM.monotonicMs();
		int running = this.inFlight.getOrDefault(workspace.id(), 0);
		if (workspace.concurrency() > 0 && running >= Math.max(workspace.concurrency() / state.activeVms(), 1)) {
			this.retryAfterMs = 100;
			return false;
		}
		if (workspace.requestsPerSecond() > 0) {
			ShareLimiter holder = this.rates.computeIfAbsent(workspace.id(), (key) -> ShareLimiter.create(nowMs));
			if (!holder.tryAcquire(workspace.requestsPerSecond(), state.activeVms(), nowMs)) {
				this.retryAfterMs = holder.retryAfterMs();
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
	 * Report demand to the steward and take the grants it brings. Called each second.
	 * @param link the steward
	 */
	void reportDemand(StewardClient link) {
		long askedMs = Clocks.SYSTEM.monotonicMs();
		ShareReport report = report(link.state(), askedMs);
		if (report.getDemandsCount() == 0) {
			return;
		}
		link.requestShares(report).thenAccept((reply) -> reply.peek((message) -> {
			for (ShareGrant grant : message.getShareAnswer().getGrantsList()) {
				take(grant, askedMs);
			}
		}));
	}

	private synchronized ShareReport report(EntryState state, long nowMs) {
		ShareReport.Builder report = ShareReport.newBuilder();
		this.rates.entrySet().removeIf((entry) -> {
			Workspace workspace = state.declarations().workspaces().get(entry.getKey());
			ShareRequest ask = entry.getValue().createRequest(entry.getKey(), "", nowMs);
			if (workspace == null || ask.demandPerSecond() < IDLE_DEMAND) {
				return true;
			}
			report.addDemands(ShareDemand.newBuilder()
				.setWorkspace(workspace.id())
				.setDemandPerSecond(ask.demandPerSecond())
				.setHoldsPerSecond(ask.holdsPerSecond())
				.setLimitPerSecond(workspace.requestsPerSecond()));
			return false;
		});
		return report.build();
	}

	private synchronized void take(ShareGrant grant, long askedMs) {
		ShareLimiter holder = this.rates.get(grant.getWorkspace());
		if (holder != null) {
			holder.onGrant(grant.getRatePerSecond(), askedMs);
		}
	}

}
