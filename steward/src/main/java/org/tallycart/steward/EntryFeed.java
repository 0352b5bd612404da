package org.tallycart.steward;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;

import com.google.protobuf.ByteString;
import org.jspecify.annotations.Nullable;
import org.tallycart.wire.WirePeer;
import org.tallycart.wire.message.Blob;
import org.tallycart.wire.message.Envelope;
import org.tallycart.wire.message.PartRef;
import org.tallycart.wire.message.StateUpdate;

/**
 * Sends the fleet's state, and each change of it, to this VM's entries.
 * <p>
 * Not thread-safe: confined to the control thread.
 *
 * @since 0.1
 */
final class EntryFeed {

	private final FleetState state;

	private final IntSupplier activeVms;

	private final BooleanSupplier ready;

	private final List<Subscriber> subscribers = new ArrayList<>();

	EntryFeed(FleetState state, IntSupplier activeVms, BooleanSupplier ready) {
		this.state = state;
		this.activeVms = activeVms;
		this.ready = ready;
	}

	void subscribe(WirePeer peer) {
		Subscriber subscriber = new Subscriber(peer);
		this.subscribers.add(subscriber);
		push(subscriber);
	}

	void push() {
		this.subscribers.removeIf((subscriber) -> !subscriber.peer.isOpen());
		this.subscribers.forEach(this::push);
	}

	private void push(Subscriber subscriber) {
		StateSummary current = new StateSummary(this.state.manifest().version(), version(RegisterName.SLOTS),
				version(RegisterName.VMS), this.state.drainingUpstreams().size(), this.activeVms.getAsInt(),
				this.ready.getAsBoolean());
		if (current.equals(subscriber.lastSent)) {
			return;
		}
		StateUpdate.Builder update = StateUpdate.newBuilder()
			.setConfigVersion(current.config)
			.addAllLeaving(this.state.drainingUpstreams())
			.setActiveVms(current.activeVms)
			.setReady(current.ready);
		if (subscriber.lastSent == null || subscriber.lastSent.slots != current.slots) {
			update.setSlotsVersion(current.slots).setSlots(text(RegisterName.SLOTS));
		}
		if (subscriber.lastSent == null || subscriber.lastSent.vms != current.vms) {
			update.setVmsVersion(current.vms).setVms(text(RegisterName.VMS));
		}
		addParts(update, subscriber);
		subscriber.lastSent = current;
		subscriber.peer.send(Envelope.newBuilder().setStateUpdate(update));
	}

	private void addParts(StateUpdate.Builder update, Subscriber subscriber) {
		this.state.manifest().parts().forEach((name, digest) -> {
			update.addPartRefs(PartRef.newBuilder().setName(name).setDigest(digest));
			byte[] blob = this.state.blob(digest);
			if (blob != null && subscriber.sentDigests.add(digest)) {
				update.addParts(Blob.newBuilder().setDigest(digest).setValue(ByteString.copyFrom(blob)));
			}
		});
		subscriber.sentDigests.retainAll(this.state.manifest().parts().values());
	}

	private long version(String register) {
		return this.state.register(register).version();
	}

	private String text(String register) {
		return new String(this.state.register(register).value(), StandardCharsets.UTF_8);
	}

	private static final class Subscriber {

		private final WirePeer peer;

		private final Set<String> sentDigests = new HashSet<>();

		private @Nullable StateSummary lastSent;

		private Subscriber(WirePeer peer) {
			this.peer = peer;
		}

	}

	/** Summary of the state sent to an entry, compared to skip unchanged updates. */
	private record StateSummary(long config, long slots, long vms, int drainingCount, int activeVms, boolean ready) {
	}

}
