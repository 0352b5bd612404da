package org.tallycart.node.link;

import java.util.Optional;

import io.netty.channel.EventLoopGroup;
import org.tallycart.core.ini.Address;
import org.tallycart.core.link.UpstreamLinkMonitor;
import org.tallycart.core.upstream.UpstreamDirectory;
import org.tallycart.http.event.Call;
import org.tallycart.http.event.CallFailure;
import org.tallycart.http.event.ClientRequest;
import org.tallycart.http.event.ConnectionObserver;
import org.tallycart.http.event.HttpCaller;
import org.tallycart.http.event.HttpClient;
import org.tallycart.http.event.ReceiveLimits;
import org.tallycart.http.event.ReplyListener;
import org.tallycart.node.EventLoop;
import org.tallycart.node.log.NodeLog;
import org.tallycart.node.metrics.NodeMetrics;
import org.tallycart.node.peer.PeerMesh;
import org.tallycart.node.peer.PeerMessageHandler;
import org.tallycart.runtime.event.EventCode;
import org.tallycart.wire.message.Envelope;

/**
 * Makes calls to upstreams: on this VM's own connections, or by way of other VMs while
 * this VM can connect to no upstream. Makes calls for other VMs in turn.
 * <p>
 * Invariant: a call that no VM can make fails at once. Not thread-safe: confined to the
 * event loop.
 *
 * @since 0.1
 */
public final class UpstreamLinks implements HttpCaller, PeerMessageHandler {

	/** Interval of the checks, in milliseconds. */
	private static final long TICK_MS = 100;

	/** Connect timeout of a probe, in milliseconds. */
	private static final int PROBE_TIMEOUT_MS = 300;

	private final EventLoop loop;

	private final NodeLog log;

	private final NodeMetrics metrics;

	private final UpstreamDirectory directory;

	private final HttpClient http;

	private final UpstreamLinkMonitor monitor = new UpstreamLinkMonitor();

	private final RelayService relayService;

	private Optional<PeerMesh> mesh = Optional.empty();

	private Optional<RelayedCalls> relayedCalls = Optional.empty();

	private boolean draining;

	private boolean isolated;

	private String lastFailure = "none";

	/**
	 * Create the links.
	 * @param group the event loop group of the connections, with one loop
	 * @param proxyHost the host to connect to in place of those of the upstreams; empty
	 * for their own
	 * @param limits the limits on what is received
	 * @param loop the event loop
	 * @param log the event log
	 * @param metrics the metrics of the process
	 * @param directory the upstreams that exist
	 */
	public UpstreamLinks(EventLoopGroup group, Optional<String> proxyHost, ReceiveLimits limits, EventLoop loop,
			NodeLog log, NodeMetrics metrics, UpstreamDirectory directory) {
		this.loop = loop;
		this.log = log;
		this.metrics = metrics;
		this.directory = directory;
		this.http = HttpClient.create(group, loop::nowMs, limits, new Observer(), proxyHost);
		this.relayService = new RelayService(loop, log, this.http, metrics, this::relays);
	}

	/**
	 * Start the periodic checks, and to use other VMs.
	 * @param vm the name of this VM
	 * @param peers the connections to the other VMs
	 */
	public void start(String vm, PeerMesh peers) {
		this.mesh = Optional.of(peers);
		this.relayedCalls = Optional.of(new RelayedCalls(vm, this.loop, peers));
		this.loop.scheduleWithFixedDelay(TICK_MS, this::update);
	}

	/** Make no more calls for other VMs. */
	public void drain() {
		this.draining = true;
	}

	/**
	 * Return whether this VM makes no call for another one.
	 * @return true if there is none in progress
	 */
	public boolean idle() {
		return this.relayService.callsInProgress() == 0;
	}

	/**
	 * Return the client of this VM's own connections.
	 * @return the client
	 */
	public HttpClient http() {
		return this.http;
	}

	@Override
	public ReceiveLimits receiveLimits() {
		return this.http.receiveLimits();
	}

	@Override
	public Call call(ClientRequest request, ReplyListener listener) {
		if (!this.monitor.isIsolated()) {
			return this.http.call(request, listener);
		}
		Optional<Call> relayed = this.relayedCalls.flatMap((calls) -> calls.start(request, listener));
		if (relayed.isPresent()) {
			this.metrics.onRelayedCall("requested");
			return relayed.get();
		}
		FailedCall failed = new FailedCall(listener);
		this.loop.execute(failed::fail);
		return failed;
	}

	/**
	 * Return whether this VM can connect to no upstream.
	 * @return true if it has lost its links to all of them
	 */
	public boolean isIsolated() {
		return this.monitor.isIsolated();
	}

	private void update() {
		this.relayService.tick();
		for (Address address : this.monitor.update(this.directory.connectableEntries(), this.loop.nowMs())) {
			this.http.probe(address, PROBE_TIMEOUT_MS, (result) -> {
				// The observer records the result.
			});
		}
		logChange();
		boolean connected = this.monitor.state() == UpstreamLinkMonitor.State.CONNECTED;
		this.relayedCalls.ifPresent((calls) -> calls.update(!connected));
	}

	private boolean relays() {
		return this.monitor.state() == UpstreamLinkMonitor.State.CONNECTED && !this.draining;
	}

	@Override
	public void onMessage(String vm, Envelope message) {
		switch (message.getBodyCase()) {
			case RELAY_OFFER -> onOffer(vm, message);
			case RELAY_CALL -> this.mesh.ifPresent((peers) -> this.relayService.onCall(vm, message, peers));
			case RELAY_CONTROL -> this.relayService.onControl(vm, message.getRelayControl());
			case RELAY_REPLY -> this.relayedCalls.ifPresent((calls) -> calls.onReply(vm, message.getRelayReply()));
			default -> {
				// Ignores messages for other handlers and of newer versions.
			}
		}
	}

	private void onOffer(String vm, Envelope message) {
		if (message.getRelayOffer().getAnswer()) {
			this.relayedCalls.ifPresent((calls) -> calls.onOfferAnswer(vm, message.getRelayOffer().getAccepts()));
		}
		else {
			this.mesh.ifPresent((peers) -> this.relayService.onOffer(vm, message, peers));
		}
	}

	@Override
	public void onPeerFailed(String vm) {
		onConnectionClosed(vm);
		this.relayService.cancelAll(vm);
	}

	@Override
	public void onConnectionClosed(String vm) {
		this.relayedCalls.filter((calls) -> calls.hasCallsAt(vm))
			.ifPresent((calls) -> calls.onRelayLost(vm, "connection to the relay closed"));
	}

	private void logChange() {
		if (this.isolated == this.monitor.isIsolated()) {
			return;
		}
		this.isolated = this.monitor.isIsolated();
		if (this.isolated) {
			this.log.event(EventCode.UPSTREAM_LINKS_LOST, "tried", this.monitor.failedCount(), "last_failure",
					this.lastFailure, "silent_ms", this.monitor.silentForMs(this.loop.nowMs()));
		}
		else {
			this.log.event(EventCode.UPSTREAM_LINKS_BACK);
		}
	}

	/** A call that no VM can make. */
	private static final class FailedCall implements Call {

		private final ReplyListener listener;

		private boolean cancelled;

		FailedCall(ReplyListener listener) {
			this.listener = listener;
		}

		private void fail() {
			if (!this.cancelled) {
				this.listener
					.onFailure(new CallFailure(CallFailure.Kind.NOT_CONNECTED, false, "no path to any upstream"));
			}
		}

		@Override
		public void cancel() {
			this.cancelled = true;
		}

		@Override
		public void setPaused(boolean paused) {
			// There is no reply to pause.
		}

	}

	/** Records the connections of the client. */
	private final class Observer implements ConnectionObserver {

		@Override
		public void onConnected(Address address) {
			UpstreamLinks.this.metrics.onUpstreamConnection("opened");
			UpstreamLinks.this.monitor.onConnected();
			logChange();
		}

		@Override
		public void onConnectFailed(Address address, boolean refused) {
			UpstreamLinks.this.lastFailure = refused ? "refused" : "timed_out";
			UpstreamLinks.this.metrics.onUpstreamConnection(UpstreamLinks.this.lastFailure);
			UpstreamLinks.this.monitor.onConnectFailed(address);
			update();
		}

		@Override
		public void onCallStarted() {
			UpstreamLinks.this.monitor.onCallStarted(UpstreamLinks.this.loop.nowMs());
		}

		@Override
		public void onCallEnded() {
			UpstreamLinks.this.monitor.onCallEnded();
		}

		@Override
		public void onReceived() {
			UpstreamLinks.this.monitor.onReceived(UpstreamLinks.this.loop.nowMs());
		}

	}

}
