package org.tallycart.node.link;

import java.util.Optional;

import io.netty.channel.EventLoopGroup;
import org.tallycart.core.ini.Address;
import org.tallycart.core.link.UpstreamLinkMonitor;
import org.tallycart.core.upstream.UpstreamDirectory;
import org.tallycart.http.event.ConnectionObserver;
import org.tallycart.http.event.HttpClient;
import org.tallycart.node.EventLoop;
import org.tallycart.node.log.NodeLog;
import org.tallycart.node.metrics.NodeMetrics;
import org.tallycart.runtime.event.EventCode;

/**
 * Opens this VM's connections to upstreams and detects that none can be opened any more.
 * <p>
 * Not thread-safe: confined to the event loop.
 *
 * @since 0.1
 */
public final class UpstreamLinks {

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

	private boolean isolated;

	private String lastFailure = "none";

	/**
	 * Create the links.
	 * @param group the event loop group of the connections, with one loop
	 * @param proxyHost the host to connect to in place of those of the upstreams; empty
	 * for their own
	 * @param loop the event loop
	 * @param log the event log
	 * @param metrics the metrics of the process
	 * @param directory the upstreams that exist
	 */
	public UpstreamLinks(EventLoopGroup group, Optional<String> proxyHost, EventLoop loop, NodeLog log,
			NodeMetrics metrics, UpstreamDirectory directory) {
		this.loop = loop;
		this.log = log;
		this.metrics = metrics;
		this.directory = directory;
		this.http = HttpClient.create(group, loop::nowMs, new Observer(), proxyHost);
	}

	/** Start the periodic checks. */
	public void start() {
		this.loop.scheduleWithFixedDelay(TICK_MS, this::update);
	}

	/**
	 * Return the client of the connections.
	 * @return the client
	 */
	public HttpClient http() {
		return this.http;
	}

	/**
	 * Return whether this VM can connect to no upstream.
	 * @return true if it has lost its links to all of them
	 */
	public boolean isIsolated() {
		return this.monitor.isIsolated();
	}

	private void update() {
		for (Address address : this.monitor.update(this.directory.entries(), this.loop.nowMs())) {
			this.http.probe(address, PROBE_TIMEOUT_MS, (result) -> {
				// The observer records the result.
			});
		}
		logChange();
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
