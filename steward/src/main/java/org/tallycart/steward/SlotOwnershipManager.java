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
 * Owns slots: answers claims, takes over slots whose owner is gone, hands slots over.
 * <p>
 * One change of the slot map is in progress at a time. A write whose effect is unknown is
 * repeated until its effect is known; until then the slots it concerns stay sealed, since
 * the first write can still take effect late. Not thread-safe: confined to the control
 * thread.
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

	private boolean busy;

	private @Nullable SlotChange unresolved;

	private @Nullable PlanInputs settled;

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

	void draining(boolean drains) {
		this.draining = drains;
	}

	/**
	 * Adopt the slot map that is now known.
	 */
	void adopt() {
		if (this.state.register(RegisterName.SLOTS).version() > 0) {
			this.claims.applySlotMap(this.state.slots(), Clocks.SYSTEM.wallMs());
		}
	}

	/**
	 * Begin one change of the slot map, if one is due and none is in progress.
	 */
	void tick() {
		this.claims.expire(Clocks.SYSTEM.wallMs());
		if (this.busy) {
			return;
		}
		if (this.unresolved != null) {
			write(this.unresolved);
			return;
		}
		if (!this.platform.healthy() || this.state.vms().version() == 0) {
			return;
		}
		List<String> active = new ArrayList<>(this.peers.active(Clocks.SYSTEM.monotonicMs()));
		PlanInputs inputs = new PlanInputs(this.state.register(RegisterName.SLOTS).version(),
				this.state.vms().version(), this.draining, Set.copyOf(active));
		if (inputs.equals(this.settled)) {
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
		this.settled = inputs;
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
		this.busy = true;
		List<SlotHandover> moved = this.claims.seal(slots);
		HandoverCall.Builder call = HandoverCall.newBuilder().setSequence(++this.handoverSequence);
		moved.forEach((handover) -> call.addSlots(ClaimMessageCodec.slotClaims(handover)));
		client.call(Envelope.newBuilder().setHandoverCall(call), HANDOVER_TIMEOUT_MS)
			.thenAccept((reply) -> this.control.execute("handover", () -> offered(vm, slots, reply)));
	}

	private void offered(String vm, List<Integer> slots, Either<WireError, Envelope> reply) {
		this.busy = false;
		boolean accepted = reply.isRight() && reply.get().getAck().getAccepted();
		if (!accepted) {
			// Nothing names the other VM as owner yet, so the slots are still this one's.
			this.claims.unseal(slots);
			this.events.emit(EventCode.HANDOVER_FAILED, vm + " did not take slots " + slots + "; kept here");
			return;
		}
		write(change(slots, vm, reply.get().getSenderIncarnation(), true));
	}

	private void write(SlotChange change) {
		this.busy = true;
		byte[] value = change.next().encode().getBytes(StandardCharsets.UTF_8);
		this.platform.writeSlots(value, change.expectedVersion(), (result) -> {
			this.busy = false;
			written(change, value, result);
		});
	}

	private void written(SlotChange change, byte[] value, WriteResult result) {
		switch (result.status()) {
			case APPLIED -> {
				this.unresolved = null;
				EventCode code = change.handedOver() ? EventCode.SLOTS_HANDED_OVER : EventCode.SLOTS_TAKEN_OVER;
				this.events.emit(code, change.slots() + " to " + change.vm());
				this.state.offer(RegisterName.SLOTS, result.version(), value, "own write");
			}
			case CONFLICT -> {
				// The version has moved on, so neither this write nor an earlier try can
				// still
				// take effect; the map tells whether one did.
				this.unresolved = null;
				resolve(change);
			}
			case NOT_APPLIED -> {
				if (this.unresolved == null) {
					abandon(change);
				}
			}
			default -> {
				this.unresolved = change;
			}
		}
	}

	private void resolve(SlotChange change) {
		this.busy = true;
		this.platform.readSlots();
		long knownVersion = change.expectedVersion();
		waitForNewer(change, knownVersion);
	}

	private void waitForNewer(SlotChange change, long knownVersion) {
		if (this.state.register(RegisterName.SLOTS).version() > knownVersion) {
			this.busy = false;
			if (!tookEffect(change)) {
				abandon(change);
			}
			return;
		}
		this.platform.readSlots();
		CompletableFuture.delayedExecutor(100, TimeUnit.MILLISECONDS)
			.execute(() -> this.control.execute("resolve", () -> waitForNewer(change, knownVersion)));
	}

	private boolean tookEffect(SlotChange change) {
		int slot = change.slots().get(0);
		SlotOwner wanted = change.next().owner(slot);
		SlotOwner present = this.state.slots().owner(slot);
		return wanted != null && present != null && present.term() >= wanted.term()
				&& (present.equals(wanted) || !present.matches(this.identity.vm(), this.identity.incarnation()));
	}

	private void abandon(SlotChange change) {
		if (change.handedOver()) {
			this.claims.unseal(change.slots());
			this.events.emit(EventCode.HANDOVER_FAILED,
					"the slot map was not changed; slots " + change.slots() + " kept here");
		}
	}

	ClaimAnswer onClaim(ClaimCall call) {
		Either<String, IdempotencyKey> key = IdempotencyKey.parse(call.getKey());
		if (key.isLeft()) {
			return ClaimAnswer.newBuilder().setStatus(ClaimAnswer.Status.NOT_OWNER).build();
		}
		ClaimHolder asker = ClaimMessageCodec.holder(call.getClaimant());
		ClaimReply reply = this.claims.claim(key.get(), asker, call.getKnownTerm(), Clocks.SYSTEM.wallMs());
		this.events.emit(EventCode.CLAIM_ANSWERED, SubmissionId.requestIdOf(asker.attemptId()),
				call.getKey() + " " + reply.status());
		return ClaimMessageCodec.answer(reply);
	}

	boolean onFinish(ClaimFinish finish) {
		return IdempotencyKey.parse(finish.getKey())
			.map((key) -> this.claims.finish(key, ClaimMessageCodec.holder(finish.getClaimant()),
					finish.getResult().toByteArray()))
			.getOrElse(false);
	}

	boolean onRelease(ClaimRelease release) {
		return IdempotencyKey.parse(release.getKey())
			.map((key) -> this.claims.release(key, ClaimMessageCodec.holder(release.getClaimant())))
			.getOrElse(false);
	}

	boolean onHandover(HandoverCall call, String from) {
		if (this.draining) {
			return false;
		}
		boolean all = true;
		List<Integer> slots = new ArrayList<>();
		for (SlotHandover handover : ClaimMessageCodec.handovers(call)) {
			all &= this.claims.stage(handover);
			slots.add(handover.slot());
		}
		this.events.emit(EventCode.SLOTS_STAGED, slots + " from " + from);
		return all;
	}

	/**
	 * Return whether a stop now would lose claims.
	 * @return true while slots are owned here
	 */
	boolean ownsSlots() {
		return this.busy || this.unresolved != null
				|| !this.state.slots().ownedBy(this.identity.vm(), this.identity.incarnation()).isEmpty();
	}

	Map<String, Integer> counts() {
		return Map.of("open_slots", this.claims.openSlotCount(), "claims", this.claims.size());
	}

	/**
	 * What a plan is made from; while it stays the same, there is nothing to do again.
	 */
	private record PlanInputs(long slotsVersion, long vmsVersion, boolean draining, Set<String> active) {
	}

}
