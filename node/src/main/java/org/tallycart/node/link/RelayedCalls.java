package org.tallycart.node.link;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.tallycart.core.link.RelaySelector;
import org.tallycart.http.event.Call;
import org.tallycart.http.event.CallFailure;
import org.tallycart.http.event.ClientRequest;
import org.tallycart.http.event.ReplyEnd;
import org.tallycart.http.event.ReplyListener;
import org.tallycart.node.EventLoop;
import org.tallycart.node.peer.PeerMesh;
import org.tallycart.wire.message.Envelope;
import org.tallycart.wire.message.RelayControl;
import org.tallycart.wire.message.RelayOffer;
import org.tallycart.wire.message.RelayReply;

/**
 * Calls to upstreams that other VMs make for this one.
 * <p>
 * Invariants: a call is sent to one VM, once; its listener gets one terminal callback
 * unless it is cancelled. A call whose relay is lost may have been sent. Not thread-safe:
 * confined to the event loop.
 */
final class RelayedCalls {

	private final EventLoop loop;

	private final PeerMesh mesh;

	private final RelaySelector selector;

	private final Map<Long, RelayedCall> calls = new HashMap<>();

	private final Map<String, Integer> callCounts = new HashMap<>();

	private long lastNumber;

	RelayedCalls(String vm, EventLoop loop, PeerMesh mesh) {
		this.loop = loop;
		this.mesh = mesh;
		this.selector = new RelaySelector(vm);
	}

	/**
	 * Ask other VMs whether they make calls. To be called periodically.
	 * @param needed whether new calls may be made
	 */
	void update(boolean needed) {
		long now = this.loop.nowMs();
		if (!needed && this.calls.isEmpty()) {
			this.selector.reset();
			return;
		}
		this.selector.detectSilent(now).forEach((relay) -> onRelayLost(relay, "relay is silent"));
		for (String relay : this.selector.dueOffers(this.mesh.vms(), now)) {
			this.mesh.send(relay, Envelope.newBuilder().setRelayOffer(RelayOffer.getDefaultInstance()));
		}
	}

	Optional<Call> start(ClientRequest request, ReplyListener listener) {
		return this.selector.select((relay) -> this.callCounts.getOrDefault(relay, 0))
			.map((relay) -> start(relay, request, listener));
	}

	private Call start(String relay, ClientRequest request, ReplyListener listener) {
		RelayedCall call = new RelayedCall(++this.lastNumber, relay, listener);
		this.calls.put(call.number, call);
		this.callCounts.merge(relay, 1, Integer::sum);
		this.mesh.send(relay, Envelope.newBuilder().setRelayCall(RelayMessageCodec.encode(call.number, request)));
		return call;
	}

	void onOfferAnswer(String relay, boolean accepts) {
		this.selector.onAnswer(relay, accepts, this.loop.nowMs());
	}

	void onReply(String relay, RelayReply reply) {
		this.selector.onHeard(relay, this.loop.nowMs());
		RelayedCall call = this.calls.get(reply.getNumber());
		if (call == null || !call.relay.equals(relay)) {
			return;
		}
		switch (reply.getPartCase()) {
			case HEAD -> {
				if (!call.listener.onHead(RelayMessageCodec.decode(reply.getHead()))) {
					call.cancel();
					call.listener.onFailure(
							new CallFailure(CallFailure.Kind.MALFORMED, true, "the relay sent another call's reply"));
				}
			}
			case BODY -> call.listener.onBody(reply.getBody().toByteArray());
			case END -> {
				call.end();
				call.listener.onEnd(reply.getEnd().getFramed() ? ReplyEnd.FRAMED : ReplyEnd.INPUT_CLOSED);
			}
			case FAILURE -> {
				call.end();
				call.listener.onFailure(RelayMessageCodec.decode(reply.getFailure()));
			}
			case PART_NOT_SET -> {
				// Ignores parts of newer versions.
			}
		}
	}

	/**
	 * Fail the calls of a VM whose replies may have been lost.
	 * @param relay the name of the VM
	 * @param reason the reason, for logs
	 */
	void onRelayLost(String relay, String reason) {
		this.selector.exclude(relay, this.loop.nowMs());
		for (RelayedCall call : new ArrayList<>(this.calls.values())) {
			if (call.relay.equals(relay)) {
				call.cancel();
				call.listener.onFailure(new CallFailure(CallFailure.Kind.CLOSED, true, reason));
			}
		}
	}

	boolean hasCallsAt(String relay) {
		return this.callCounts.containsKey(relay);
	}

	/** A call that another VM makes. */
	private final class RelayedCall implements Call {

		private final long number;

		private final String relay;

		private final ReplyListener listener;

		RelayedCall(long number, String relay, ReplyListener listener) {
			this.number = number;
			this.relay = relay;
			this.listener = listener;
		}

		private boolean end() {
			boolean inProgress = RelayedCalls.this.calls.remove(this.number) != null;
			if (inProgress) {
				RelayedCalls.this.callCounts.computeIfPresent(this.relay,
						(key, count) -> (count > 1) ? count - 1 : null);
			}
			return inProgress;
		}

		@Override
		public void cancel() {
			if (end()) {
				control(RelayControl.Action.CANCEL);
			}
		}

		@Override
		public void setPaused(boolean paused) {
			if (RelayedCalls.this.calls.containsKey(this.number)) {
				control(paused ? RelayControl.Action.PAUSE : RelayControl.Action.RESUME);
			}
		}

		private void control(RelayControl.Action action) {
			RelayControl control = RelayControl.newBuilder().setNumber(this.number).setAction(action).build();
			RelayedCalls.this.mesh.send(this.relay, Envelope.newBuilder().setRelayControl(control));
		}

	}

}
