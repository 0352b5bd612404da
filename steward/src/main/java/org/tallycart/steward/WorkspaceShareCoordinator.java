package org.tallycart.steward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.tallycart.core.limit.ShareAllocator;
import org.tallycart.core.limit.ShareRequest;
import org.tallycart.core.membership.RendezvousHash;
import org.tallycart.runtime.process.Clocks;
import org.tallycart.wire.WireCaller;
import org.tallycart.wire.message.Envelope;
import org.tallycart.wire.message.ShareAnswer;
import org.tallycart.wire.message.ShareDemand;
import org.tallycart.wire.message.ShareGrant;
import org.tallycart.wire.message.ShareReport;

/**
 * Divides workspace limits among VMs: asks the home of each workspace on behalf of this
 * VM's entry, and is the home of some.
 * <p>
 * Not thread-safe: confined to the control thread.
 *
 * @since 0.1
 */
final class WorkspaceShareCoordinator {

	private static final long CALL_TIMEOUT_MS = 800;

	private static final long IDLE_MS = 30_000;

	private final String self;

	private final PeerDirectory peers;

	private final Map<String, WorkspaceAllocator> homes = new HashMap<>();

	WorkspaceShareCoordinator(String self, PeerDirectory peers) {
		this.self = self;
		this.peers = peers;
	}

	/**
	 * Answer this VM's entry: ask the homes of the workspaces it names.
	 * @param report the entry's demand
	 * @return the grants that could be had in time
	 */
	CompletableFuture<ShareAnswer> onEntryReport(ShareReport report) {
		long nowMs = Clocks.SYSTEM.monotonicMs();
		List<String> candidates = new ArrayList<>(this.peers.active(nowMs));
		candidates.add(this.self);
		Map<String, ShareReport.Builder> byHome = new HashMap<>();
		for (ShareDemand demand : report.getDemandsList()) {
			String home = RendezvousHash.first("workspace " + demand.getWorkspace(), candidates).orElse(this.self);
			byHome.computeIfAbsent(home, (key) -> ShareReport.newBuilder()).addDemands(demand);
		}
		CompletableFuture<ShareAnswer.Builder> answer = CompletableFuture.completedFuture(ShareAnswer.newBuilder());
		for (Map.Entry<String, ShareReport.Builder> entry : byHome.entrySet()) {
			answer = answer.thenCombine(ask(entry.getKey(), entry.getValue().build()),
					(all, part) -> all.addAllGrants(part.getGrantsList()));
		}
		return answer.thenApply(ShareAnswer.Builder::build);
	}

	private CompletableFuture<ShareAnswer> ask(String home, ShareReport report) {
		if (home.equals(this.self)) {
			return CompletableFuture.completedFuture(onPeerReport(report, this.self));
		}
		WireCaller client = this.peers.client(home).orElse(null);
		if (client == null) {
			return CompletableFuture.completedFuture(ShareAnswer.getDefaultInstance());
		}
		return client.call(Envelope.newBuilder().setShareReport(report), CALL_TIMEOUT_MS)
			.thenApply((reply) -> reply.map(Envelope::getShareAnswer).getOrElse(ShareAnswer.getDefaultInstance()));
	}

	/**
	 * Answer a VM as the home of workspaces.
	 * @param report the VM's demand
	 * @param vm the VM
	 * @return the grants
	 */
	ShareAnswer onPeerReport(ShareReport report, String vm) {
		long nowMs = Clocks.SYSTEM.monotonicMs();
		ShareAnswer.Builder answer = ShareAnswer.newBuilder();
		for (ShareDemand demand : report.getDemandsList()) {
			WorkspaceAllocator home = this.homes.computeIfAbsent(demand.getWorkspace(),
					(key) -> new WorkspaceAllocator(ShareAllocator.create(nowMs)));
			home.usedMs = nowMs;
			double rate = home.shares.allocate(new ShareRequest(demand.getWorkspace(), vm, demand.getDemandPerSecond(),
					demand.getHoldsPerSecond()), demand.getLimitPerSecond(), nowMs);
			answer.addGrants(ShareGrant.newBuilder().setWorkspace(demand.getWorkspace()).setRatePerSecond(rate));
		}
		return answer.build();
	}

	void prune() {
		long nowMs = Clocks.SYSTEM.monotonicMs();
		this.homes.values().removeIf((home) -> nowMs - home.usedMs > IDLE_MS);
	}

	private static final class WorkspaceAllocator {

		private final ShareAllocator shares;

		private long usedMs;

		private WorkspaceAllocator(ShareAllocator shares) {
			this.shares = shares;
		}

	}

}
