package org.tallycart.node.link;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;

import com.google.protobuf.ByteString;
import org.apache.hc.core5.http.HttpResponse;
import org.jspecify.annotations.Nullable;
import org.tallycart.http.event.Call;
import org.tallycart.http.event.CallFailure;
import org.tallycart.http.event.ClientRequest;
import org.tallycart.http.event.HttpCaller;
import org.tallycart.http.event.ReplyEnd;
import org.tallycart.http.event.ReplyListener;
import org.tallycart.node.EventLoop;
import org.tallycart.node.log.NodeLog;
import org.tallycart.node.metrics.NodeMetrics;
import org.tallycart.node.peer.PeerMesh;
import org.tallycart.runtime.event.EventCode;
import org.tallycart.wire.message.Envelope;
import org.tallycart.wire.message.RelayCall;
import org.tallycart.wire.message.RelayControl;
import org.tallycart.wire.message.RelayEnd;
import org.tallycart.wire.message.RelayOffer;
import org.tallycart.wire.message.RelayReply;

/**
 * Makes calls to upstreams for VMs that cannot connect to them. All decisions about a
 * call stay with the VM that it is made for.
 * <p>
 * Invariants: a call is made once at most; it is cancelled when its VM cancels it,
 * restarts or falls silent. Upstreams are not read, nor more calls made, while too much
 * is queued for the VM. Not thread-safe: confined to the event loop.
 */
final class RelayService {

	/**
	 * Time after which calls for a VM that is not heard are cancelled, in milliseconds.
	 */
	private static final long SILENCE_MS = 1_500;

	/** Maximum number of calls in progress for other VMs. */
	private static final int MAX_CALLS = 512;

	/**
	 * Size of what is queued for a VM, above which its upstreams are not read and it gets
	 * no more calls, in bytes.
	 */
	static final long MAX_QUEUED_BYTES = 4 << 20;

	private static final CallFailure DECLINED = new CallFailure(CallFailure.Kind.NOT_CONNECTED, false,
			"the relay makes no calls");

	private final EventLoop loop;

	private final NodeLog log;

	private final HttpCaller http;

	private final NodeMetrics metrics;

	private final BooleanSupplier accepting;

	private final Map<String, Origin> origins = new HashMap<>();

	private int callsInProgress;

	RelayService(EventLoop loop, NodeLog log, HttpCaller http, NodeMetrics metrics, BooleanSupplier accepting) {
		this.loop = loop;
		this.log = log;
		this.http = http;
		this.metrics = metrics;
		this.accepting = accepting;
	}

	void onOffer(String vm, Envelope message, PeerMesh mesh) {
		sendOffer(origin(vm, message, mesh));
	}

	private void sendOffer(Origin origin) {
		RelayOffer offer = RelayOffer.newBuilder().setAnswer(true).setAccepts(accepts(origin)).build();
		origin.mesh.reply(origin.vm, Envelope.newBuilder().setRelayOffer(offer));
	}

	private boolean accepts(Origin origin) {
		return this.accepting.getAsBoolean() && this.callsInProgress < MAX_CALLS && !origin.congested;
	}

	private Origin origin(String vm, Envelope message, PeerMesh mesh) {
		Origin known = this.origins.get(vm);
		if (known != null && known.incarnation != message.getSenderIncarnation()) {
			cancelAll(vm);
			known = null;
		}
		Origin origin = (known != null) ? known : new Origin(vm, message.getSenderIncarnation(), mesh);
		this.origins.put(vm, origin);
		origin.heardMs = this.loop.nowMs();
		return origin;
	}

	void onCall(String vm, Envelope message, PeerMesh mesh) {
		Origin origin = origin(vm, message, mesh);
		RelayCall call = message.getRelayCall();
		if (!accepts(origin)) {
			origin.reply(call.getNumber(), RelayReply.newBuilder().setFailure(RelayMessageCodec.encode(DECLINED)));
			sendOffer(origin);
			return;
		}
		this.metrics.onRelayedCall("made");
		this.callsInProgress++;
		ClientRequest request = RelayMessageCodec.decode(call);
		RelayedReply listener = new RelayedReply(origin, call.getNumber(), request);
		origin.calls.put(call.getNumber(), listener);
		listener.call = this.http.call(request, listener);
	}

	void onControl(String vm, RelayControl control) {
		Origin origin = this.origins.get(vm);
		RelayedReply listener = (origin != null) ? origin.calls.get(control.getNumber()) : null;
		if (listener == null || listener.call == null) {
			return;
		}
		switch (control.getAction()) {
			case CANCEL -> cancel(listener);
			case PAUSE -> listener.pause(true);
			case RESUME -> listener.pause(false);
			default -> {
				// Ignores actions of newer versions.
			}
		}
	}

	private void cancel(RelayedReply listener) {
		listener.end();
		if (listener.call != null) {
			listener.call.cancel();
		}
	}

	void cancelAll(String vm) {
		Origin origin = this.origins.remove(vm);
		if (origin != null) {
			new ArrayList<>(origin.calls.values()).forEach(this::cancel);
		}
	}

	int callsInProgress() {
		return this.callsInProgress;
	}

	/** Must be called several times a second. */
	void tick() {
		cancelSilent();
		this.origins.values().forEach(this::resumeIfDrained);
	}

	private void resumeIfDrained(Origin origin) {
		if (origin.congested && origin.queuedBytes() <= MAX_QUEUED_BYTES / 2) {
			origin.congested = false;
			origin.calls.values().forEach(RelayedReply::updatePaused);
		}
	}

	private void pauseIfCongested(Origin origin) {
		long queuedBytes = origin.queuedBytes();
		if (origin.congested || queuedBytes <= MAX_QUEUED_BYTES) {
			return;
		}
		origin.congested = true;
		this.log.event(EventCode.RELAY_QUEUE_FULL, "vm", origin.vm, "queued_bytes", queuedBytes, "calls",
				origin.calls.size());
		origin.calls.values().forEach(RelayedReply::updatePaused);
	}

	private void cancelSilent() {
		long silentSinceMs = this.loop.nowMs() - SILENCE_MS;
		for (Origin origin : new ArrayList<>(this.origins.values())) {
			if (origin.heardMs < silentSinceMs) {
				cancelAll(origin.vm);
			}
		}
	}

	/** A VM that calls are made for. */
	private static final class Origin {

		private final String vm;

		private final long incarnation;

		private final PeerMesh mesh;

		private final Map<Long, RelayedReply> calls = new HashMap<>();

		private long heardMs;

		/**
		 * Whether its upstreams are not read and it gets no more calls, since too much is
		 * queued for it.
		 */
		private boolean congested;

		Origin(String vm, long incarnation, PeerMesh mesh) {
			this.vm = vm;
			this.incarnation = incarnation;
			this.mesh = mesh;
		}

		private long queuedBytes() {
			return this.mesh.queuedReplyBytes(this.vm);
		}

		private void reply(long number, RelayReply.Builder reply) {
			this.mesh.reply(this.vm, Envelope.newBuilder().setRelayReply(reply.setNumber(number)));
		}

	}

	/** Sends the parts of a reply to the VM that the call is made for. */
	private final class RelayedReply implements ReplyListener {

		private final Origin origin;

		private final long number;

		private final ClientRequest request;

		private @Nullable Call call;

		private boolean pausedByVm;

		RelayedReply(Origin origin, long number, ClientRequest request) {
			this.origin = origin;
			this.number = number;
			this.request = request;
		}

		private void end() {
			if (this.origin.calls.remove(this.number) != null) {
				RelayService.this.callsInProgress--;
			}
		}

		private void pause(boolean paused) {
			this.pausedByVm = paused;
			updatePaused();
		}

		private void updatePaused() {
			if (this.call != null) {
				this.call.setPaused(this.pausedByVm || this.origin.congested);
			}
		}

		private void reply(RelayReply.Builder reply) {
			this.origin.reply(this.number, reply);
		}

		@Override
		public boolean onHead(HttpResponse head) {
			if (!this.request.replyCheck().test(head)) {
				return false;
			}
			reply(RelayReply.newBuilder().setHead(RelayMessageCodec.encode(head)));
			if (this.origin.congested) {
				updatePaused();
			}
			return true;
		}

		@Override
		public void onBody(byte[] part) {
			reply(RelayReply.newBuilder().setBody(ByteString.copyFrom(part)));
			pauseIfCongested(this.origin);
		}

		@Override
		public void onEnd(ReplyEnd end) {
			end();
			reply(RelayReply.newBuilder().setEnd(RelayEnd.newBuilder().setFramed(end == ReplyEnd.FRAMED)));
		}

		@Override
		public void onFailure(CallFailure failure) {
			end();
			reply(RelayReply.newBuilder().setFailure(RelayMessageCodec.encode(failure)));
		}

	}

}
