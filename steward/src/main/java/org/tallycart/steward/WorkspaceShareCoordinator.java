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
 * Divides workspace limits among VMs: requests shares for this VM's entry from the
 * allocator of each workspace, and is the allocator of some workspaces.
 * <p>
 * Not thread-safe: confined to the control thread.
 *
 * @since 0.1
 */
final class WorkspaceShareCoordinator {

	private static final long CALL_TIMEOUT_MS = 800;

	/** Time without a report after which an allocator is removed. */
	private static final long IDLE_TIMEOUT_MS = 30_000;

	private final String self;

	private final PeerDirectory peers;

	private final Map<String, WorkspaceAllocator> allocators = new HashMap<>();

	WorkspaceShareCoordinator(String self, PeerDirectory peers) {
		this.self = self;
		this.peers = peers;
	}

	/**
	 * Handle a report of this VM's entry: request shares from the allocators of the
	 * workspaces it names.
	 * @param report the entry's demand
	 * @return the grants of the allocators that replied within the timeout
	 */
	CompletableFuture<ShareAnswer> onEntryReport(ShareReport report) {
		long nowMs = Clocks.SYSTEM.monotonicMs();
		List<String> candidates = new ArrayList<>(this.peers.activeVms(nowMs));
		candidates.add(this.self);
		Map<String, ShareReport.Builder> byAllocator = new HashMap<>();
		for (ShareDemand demand : report.getDemandsList()) {
			String allocatorVm = RendezvousHash.first("workspace " + demand.getWorkspace(), candidates)
				.orElse(this.self);
			byAllocator.computeIfAbsent(allocatorVm, (key) -> ShareReport.newBuilder()).addDemands(demand);
		}
		CompletableFuture<ShareAnswer.Builder> answer = CompletableFuture.completedFuture(ShareAnswer.newBuilder());
		for (Map.Entry<String, ShareReport.Builder> entry : byAllocator.entrySet()) {
			answer = answer.thenCombine(requestShares(entry.getKey(), entry.getValue().build()),
					(all, part) -> all.addAllGrants(part.getGrantsList()));
		}
		return answer.thenApply(ShareAnswer.Builder::build);
	}

	private CompletableFuture<ShareAnswer> requestShares(String allocatorVm, ShareReport report) {
		if (allocatorVm.equals(this.self)) {
			return CompletableFuture.completedFuture(onPeerReport(report, this.self));
		}
		WireCaller client = this.peers.client(allocatorVm).orElse(null);
		if (client == null) {
			return CompletableFuture.completedFuture(ShareAnswer.getDefaultInstance());
		}
		return client.call(Envelope.newBuilder().setShareReport(report), CALL_TIMEOUT_MS)
			.thenApply((reply) -> reply.map(Envelope::getShareAnswer).getOrElse(ShareAnswer.getDefaultInstance()));
	}

	/**
	 * Handle a report of a VM as the allocator of the workspaces it names.
	 * @param report the VM's demand
	 * @param vm the VM's id
	 * @return the grants
	 */
	ShareAnswer onPeerReport(ShareReport report, String vm) {
		long nowMs = Clocks.SYSTEM.monotonicMs();
		ShareAnswer.Builder answer = ShareAnswer.newBuilder();
		for (ShareDemand demand : report.getDemandsList()) {
			WorkspaceAllocator allocator = this.allocators.computeIfAbsent(demand.getWorkspace(),
					(key) -> new WorkspaceAllocator(ShareAllocator.create(nowMs)));
			allocator.lastUsedMs = nowMs;
			double rate = allocator.shares.allocate(new ShareRequest(demand.getWorkspace(), vm,
					demand.getDemandPerSecond(), demand.getHoldsPerSecond()), demand.getLimitPerSecond(), nowMs);
			answer.addGrants(ShareGrant.newBuilder().setWorkspace(demand.getWorkspace()).setRatePerSecond(rate));
		}
		return answer.build();
	}

	void removeIdle() {
		long nowMs = Clocks.SYSTEM.monotonicMs();
		this.allocators.values().removeIf((allocator) -> nowMs - allocator.lastUsedMs > IDLE_TIMEOUT_MS);
	}

	private static final class WorkspaceAllocator {

		private final ShareAllocator shares;

		private long lastUsedMs;

		private WorkspaceAllocator(ShareAllocator shares) {
			this.shares = shares;
		}

	}

}
