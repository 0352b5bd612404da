package org.tallycart.steward;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.tallycart.core.claim.ClaimHolder;
import org.tallycart.core.claim.ClaimReply;
import org.tallycart.core.claim.ClaimTable;
import org.tallycart.core.claim.IdempotencyKey;
import org.tallycart.core.claim.SlotHandover;
import org.tallycart.core.claim.SlotMap;
import org.tallycart.core.claim.SlotOwner;
import org.tallycart.core.claim.SubmissionId;
import org.tallycart.core.membership.SlotPlan;
import org.tallycart.platform.WriteResult;
import org.tallycart.runtime.event.EventCode;
import org.tallycart.runtime.event.EventLog;
import org.tallycart.runtime.process.Clocks;
import org.tallycart.wire.WireCaller;
import org.tallycart.wire.WireError;
import org.tallycart.wire.WireIdentity;
import org.tallycart.wire.message.ClaimAnswer;
import org.tallycart.wire.message.ClaimCall;
import org.tallycart.wire.message.ClaimFinish;
import org.tallycart.wire.message.ClaimRelease;
import org.tallycart.wire.message.Envelope;
import org.tallycart.wire.message.HandoverCall;

/**
 * Manages the slots that this VM owns: decides claims, takes over slots whose owner has
 * failed, and hands slots over.
 * <p>
 * At most one change of the slot map is in progress. A write whose effect is unknown is
 * retried until its effect is known; until then the slots of a handover stay sealed, as
 * the first write can still take effect. Not thread-safe: confined to the control thread.
 *
 * @since 0.1
 */
final class SlotOwnershipManager {

	private static final long HANDOVER_TIMEOUT_MS = 2_000;

	private final WireIdentity identity;

	private final FleetState state;

	private final PeerDirectory peers;

	private final PlatformReplicator platform;

	private final ControlThread control;

	private final EventLog events;

	private final ClaimTable claims;

	private boolean draining;

	private boolean changeInProgress;

	private @Nullable SlotChange unresolvedChange;

	private @Nullable PlanInputs settledInputs;

	private long handoverSequence;

	SlotOwnershipManager(WireIdentity identity, FleetState state, PeerDirectory peers, PlatformReplicator platform,
			ControlThread control, EventLog events, ClaimTable claims) {
		this.identity = identity;
		this.state = state;
		this.peers = peers;
		this.platform = platform;
		this.control = control;
		this.events = events;
		this.claims = claims;
	}

	void setDraining(boolean draining) {
		this.draining = draining;
	}

	/**
	 * Apply the latest known slot map to the claims.
	 */
	void applySlotMap() {
		if (this.state.register(RegisterName.SLOTS).version() > 0) {
			this.claims.applySlotMap(this.state.slots(), Clocks.SYSTEM.wallMs());
		}
	}

	/**
	 * Remove expired claims, and start a change of the slot map if one is due and none is
	 * in progress.
	 */
	void startDueChange() {
		this.claims.expire(Clocks.SYSTEM.wallMs());
		if (this.changeInProgress) {
			return;
		}
		if (this.unresolvedChange != null) {
			write(this.unresolvedChange);
			return;
		}
		if (!this.platform.isHealthy() || this.state.vms().version() == 0) {
			return;
		}
		List<String> active = new ArrayList<>(this.peers.activeVms(Clocks.SYSTEM.monotonicMs()));
		PlanInputs inputs = new PlanInputs(this.state.register(RegisterName.SLOTS).version(),
				this.state.vms().version(), this.draining, Set.copyOf(active));
		if (inputs.equals(this.settledInputs)) {
			return;
		}
		if (!this.draining) {
			active.add(this.identity.vm());
			List<Integer> takeovers = SlotPlan.takeovers(this.state.slots(), this.identity.vm(),
					this.identity.incarnation(), this.state.vms(), active);
			if (!takeovers.isEmpty()) {
				write(change(takeovers, this.identity.vm(), this.identity.incarnation(), false));
				return;
			}
		}
		SortedMap<String, List<Integer>> plan = SlotPlan.handovers(this.state.slots(), this.identity.vm(),
				this.identity.incarnation(), active);
		if (!plan.isEmpty()) {
			handOver(plan.firstKey(), plan.getOrDefault(plan.firstKey(), List.of()));
			return;
		}
		this.settledInputs = inputs;
	}

	private SlotChange change(List<Integer> slots, String vm, long incarnation, boolean handedOver) {
		SlotMap next = this.state.slots().assign(slots, vm, incarnation, handedOver);
		return new SlotChange(slots, vm, handedOver, next, this.state.register(RegisterName.SLOTS).version());
	}

	private void handOver(String vm, List<Integer> slots) {
		WireCaller client = this.peers.client(vm).orElse(null);
		if (client == null) {
			return;
		}
		this.changeInProgress = true;
		List<SlotHandover> moved = this.claims.seal(slots);
		HandoverCall.Builder call = HandoverCall.newBuilder().setSequence(++this.handoverSequence);
		moved.forEach((handover) -> call.addSlots(ClaimMessageCodec.encodeHandover(handover)));
		client.call(Envelope.newBuilder().setHandoverCall(call), HANDOVER_TIMEOUT_MS)
			.thenAccept((reply) -> this.control.execute("handover", () -> onHandoverReply(vm, slots, reply)));
	}

	private void onHandoverReply(String vm, List<Integer> slots, Either<WireError, Envelope> reply) {
		this.changeInProgress = false;
		boolean accepted = reply.isRight() && reply.get().getAck().getAccepted();
		if (!accepted) {
			// The slot map was not written, so this VM still owns the slots.
			this.claims.unseal(slots);
			this.events.emit(EventCode.HANDOVER_FAILED, vm + " did not accept slots " + slots + "; this VM keeps them");
			return;
		}
		write(change(slots, vm, reply.get().getSenderIncarnation(), true));
	}

	private void write(SlotChange change) {
		this.changeInProgress = true;
		byte[] value = change.next().encode().getBytes(StandardCharsets.UTF_8);
		this.platform.writeSlotMap(value, change.expectedVersion(), (result) -> {
			this.changeInProgress = false;
			onWritten(change, value, result);
		});
	}

	private void onWritten(SlotChange change, byte[] value, WriteResult result) {
		switch (result.status()) {
			case APPLIED -> {
				this.unresolvedChange = null;
				EventCode code = change.handedOver() ? EventCode.SLOTS_HANDED_OVER : EventCode.SLOTS_TAKEN_OVER;
				this.events.emit(code, change.slots() + " to " + change.vm());
				this.state.offer(RegisterName.SLOTS, result.version(), value, "own write");
			}
			case CONFLICT -> {
				// The stored version is newer, so no attempt of this write can still
				// take effect; the new slot map shows whether one did.
				this.unresolvedChange = null;
				resolveConflict(change);
			}
			case NOT_APPLIED -> {
				if (this.unresolvedChange == null) {
					abandon(change);
				}
			}
			default -> {
				this.unresolvedChange = change;
			}
		}
	}

	private void resolveConflict(SlotChange change) {
		this.changeInProgress = true;
		this.platform.readSlotMap();
		long knownVersion = change.expectedVersion();
		awaitNewerSlotMap(change, knownVersion);
	}

	private void awaitNewerSlotMap(SlotChange change, long knownVersion) {
		if (this.state.register(RegisterName.SLOTS).version() > knownVersion) {
			this.changeInProgress = false;
			if (!tookEffect(change)) {
				abandon(change);
			}
			return;
		}
		this.platform.readSlotMap();
		CompletableFuture.delayedExecutor(100, TimeUnit.MILLISECONDS)
			.execute(() -> this.control.execute("resolve", () -> awaitNewerSlotMap(change, knownVersion)));
	}

	private boolean tookEffect(SlotChange change) {
		int slot = change.slots().get(0);
		SlotOwner intended = change.next().owner(slot);
		SlotOwner actual = this.state.slots().owner(slot);
		return intended != null && actual != null && actual.term() >= intended.term()
				&& (actual.equals(intended) || !actual.matches(this.identity.vm(), this.identity.incarnation()));
	}

	private void abandon(SlotChange change) {
		if (change.handedOver()) {
			this.claims.unseal(change.slots());
			this.events.emit(EventCode.HANDOVER_FAILED,
					"the slot map was not changed; slots " + change.slots() + " stay with this VM");
		}
	}

	ClaimAnswer onClaim(ClaimCall call) {
		Either<String, IdempotencyKey> key = IdempotencyKey.parse(call.getKey());
		if (key.isLeft()) {
			return ClaimAnswer.newBuilder().setStatus(ClaimAnswer.Status.NOT_OWNER).build();
		}
		ClaimHolder claimant = ClaimMessageCodec.decodeHolder(call.getClaimant());
		ClaimReply reply = this.claims.claim(key.get(), claimant, call.getKnownTerm(), Clocks.SYSTEM.wallMs());
		this.events.emit(EventCode.CLAIM_ANSWERED, SubmissionId.requestIdOf(claimant.attemptId()),
				call.getKey() + " " + reply.status());
		return ClaimMessageCodec.encodeReply(reply);
	}

	boolean onFinish(ClaimFinish finish) {
		return IdempotencyKey.parse(finish.getKey())
			.map((key) -> this.claims.finish(key, ClaimMessageCodec.decodeHolder(finish.getClaimant()),
					finish.getResult().toByteArray()))
			.getOrElse(false);
	}

	boolean onRelease(ClaimRelease release) {
		return IdempotencyKey.parse(release.getKey())
			.map((key) -> this.claims.release(key, ClaimMessageCodec.decodeHolder(release.getClaimant())))
			.getOrElse(false);
	}

	boolean onHandover(HandoverCall call, String from) {
		if (this.draining) {
			return false;
		}
		boolean allStaged = true;
		List<Integer> slots = new ArrayList<>();
		for (SlotHandover handover : ClaimMessageCodec.decodeHandovers(call)) {
			allStaged &= this.claims.stage(handover);
			slots.add(handover.slot());
		}
		this.events.emit(EventCode.SLOTS_STAGED, slots + " from " + from);
		return allStaged;
	}

	/**
	 * Return whether this VM owns slots or a change is in progress, so that a stop could
	 * lose claims.
	 * @return true if so
	 */
	boolean ownsSlots() {
		return this.changeInProgress || this.unresolvedChange != null
				|| !this.state.slots().ownedBy(this.identity.vm(), this.identity.incarnation()).isEmpty();
	}

	Map<String, Integer> counts() {
		return Map.of("open_slots", this.claims.openSlotCount(), "claims", this.claims.size());
	}

	/**
	 * Inputs of a plan. Unchanged inputs give the same plan, so it is not computed again.
	 */
	private record PlanInputs(long slotsVersion, long vmsVersion, boolean draining, Set<String> active) {
	}

}
