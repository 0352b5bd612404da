package org.tallycart.http.event;

import java.net.ConnectException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.jspecify.annotations.Nullable;
import org.tallycart.core.ini.Address;

/**
 * HTTP client on an event loop, which reuses pooled connections where a request allows
 * it.
 * <p>
 * Invariant: no call is sent twice; a failure states whether a byte of the call may have
 * been sent. Not thread-safe: confined to its event loop.
 *
 * @since 0.1
 */
public final class HttpClient implements HttpCaller {

	/** Size of the first read of a connection, in bytes. */
	private static final int INITIAL_READ_BYTES = 2 << 10;

	/** Maximum size of a read, in bytes. */
	private static final int MAX_READ_BYTES = 16 << 10;

	/** Maximum number of reads of a connection before others are served. */
	private static final int MAX_CONSECUTIVE_READS = 4;

	private final EventLoopGroup group;

	private final LongSupplier nowMs;

	private final ReceiveLimits limits;

	private final ConnectionObserver observer;

	private final Map<String, ConnectionPool> pools = new HashMap<>();

	private final Optional<String> proxyHost;

	private HttpClient(EventLoopGroup group, LongSupplier nowMs, ReceiveLimits limits, ConnectionObserver observer,
			Optional<String> proxyHost) {
		this.group = group;
		this.nowMs = nowMs;
		this.limits = limits;
		this.observer = observer;
		this.proxyHost = proxyHost;
	}

	/**
	 * Create a client.
	 * @param group an event loop group of one loop
	 * @param nowMs the monotonic clock, in milliseconds
	 * @param limits the limits on what calls receive
	 * @return the client
	 */
	public static HttpClient create(EventLoopGroup group, LongSupplier nowMs, ReceiveLimits limits) {
		return create(group, nowMs, limits, ConnectionObserver.NONE, Optional.empty());
	}

	/**
	 * Create a client whose connections are observed.
	 * @param group an event loop group of one loop
	 * @param nowMs the monotonic clock, in milliseconds
	 * @param limits the limits on what calls receive
	 * @param observer the observer
	 * @param proxyHost the host to connect to in place of that of each address; empty for
	 * the host of the address
	 * @return the client
	 */
	public static HttpClient create(EventLoopGroup group, LongSupplier nowMs, ReceiveLimits limits,
			ConnectionObserver observer, Optional<String> proxyHost) {
		return new HttpClient(group, nowMs, limits, observer, proxyHost);
	}

	/**
	 * Make a call. {@code Content-Length} is added to the head of the request if needed.
	 * @param request the request
	 * @param listener the listener of the reply
	 * @return the call in progress
	 */
	@Override
	public Call call(ClientRequest request, ReplyListener listener) {
		if (request.body().length > 0 || !"GET".equals(request.head().getMethod())) {
			request.head().setHeader("Content-Length", String.valueOf(request.body().length));
		}
		ConnectionPool pool = this.pools.computeIfAbsent(request.poolName(), (key) -> new ConnectionPool(this.nowMs));
		UpstreamConnection pooled = request.reuseConnection() ? pool.take() : null;
		if (pooled != null) {
			pooled.start(request, listener);
			return new StartedCall(pooled, listener);
		}
		ConnectingCall call = new ConnectingCall(request, listener, pool);
		call.connect();
		return call;
	}

	@Override
	public ReceiveLimits receiveLimits() {
		return this.limits;
	}

	// Bounds the time for which one connection keeps the event loop.
	private static RecvByteBufAllocator boundedReads() {
		return new AdaptiveRecvByteBufAllocator(64, INITIAL_READ_BYTES, MAX_READ_BYTES)
			.maxMessagesPerRead(MAX_CONSECUTIVE_READS);
	}

	/**
	 * Close the idle connections of a pool and remove it.
	 * @param poolName the name of the pool
	 */
	public void closePool(String poolName) {
		ConnectionPool removed = this.pools.remove(poolName);
		if (removed != null) {
			removed.closeAll();
		}
	}

	/** Close idle connections past their idle limit; to be called periodically. */
	public void closeStale() {
		this.pools.values().forEach(ConnectionPool::closeStale);
	}

	/**
	 * Probe whether a process listens at an address, with a connection that is closed
	 * immediately.
	 * @param address the address
	 * @param timeoutMs the connect timeout, in milliseconds
	 * @param consumer the consumer of the result, called on the event loop
	 */
	public void probe(Address address, int timeoutMs, Consumer<ProbeResult> consumer) {
		ChannelFuture future = new Bootstrap().group(this.group)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs)
			.handler(new ChannelInboundHandlerAdapter())
			.connect(host(address), address.port());
		future.addListener((done) -> {
			future.channel().close();
			observe(address, done.cause());
			consumer.accept(probeResult(done.cause()));
		});
	}

	private String host(Address address) {
		return this.proxyHost.orElse(address.host());
	}

	private void observe(Address address, @Nullable Throwable failure) {
		if (failure == null) {
			this.observer.onConnected(address);
		}
		else {
			this.observer.onConnectFailed(address, probeResult(failure) == ProbeResult.REFUSES);
		}
	}

	private static ProbeResult probeResult(@Nullable Throwable failure) {
		if (failure == null) {
			return ProbeResult.ACCEPTS;
		}
		boolean refused = failure instanceof ConnectException && !(failure instanceof ConnectTimeoutException);
		return refused ? ProbeResult.REFUSES : ProbeResult.SILENT;
	}

	private static final class StartedCall implements Call {

		private final UpstreamConnection connection;

		private final ReplyListener listener;

		private StartedCall(UpstreamConnection connection, ReplyListener listener) {
			this.connection = connection;
			this.listener = listener;
		}

		@Override
		public void cancel() {
			if (this.connection.isServing(this.listener)) {
				this.connection.discard();
			}
		}

		@Override
		public void setPaused(boolean paused) {
			if (this.connection.isServing(this.listener)) {
				this.connection.setPaused(paused);
			}
		}

	}

	/** Call that is started once its new connection is established. */
	private final class ConnectingCall implements Call {

		private final ClientRequest request;

		private final ReplyListener listener;

		private final ConnectionPool pool;

		private @Nullable ChannelFuture connecting;

		private @Nullable StartedCall started;

		private boolean cancelled;

		private ConnectingCall(ClientRequest request, ReplyListener listener, ConnectionPool pool) {
			this.request = request;
			this.listener = listener;
			this.pool = pool;
		}

		private void connect() {
			UpstreamConnection connection = new UpstreamConnection(this.pool, HttpClient.this.limits.message(),
					HttpClient.this.observer);
			ChannelFuture future = new Bootstrap().group(HttpClient.this.group)
				.channel(NioSocketChannel.class)
				.option(ChannelOption.TCP_NODELAY, true)
				.option(ChannelOption.ALLOW_HALF_CLOSURE, true)
				.option(ChannelOption.RECVBUF_ALLOCATOR, boundedReads())
				.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, this.request.connectTimeoutMs())
				.handler(connection)
				.connect(host(this.request.address()), this.request.address().port());
			this.connecting = future;
			future.addListener((done) -> onConnected(connection, done.isSuccess(), done.cause()));
		}

		private void onConnected(UpstreamConnection connection, boolean success, @Nullable Throwable cause) {
			if (success || !this.cancelled) {
				observe(this.request.address(), cause);
			}
			if (this.cancelled) {
				if (success) {
					connection.discard();
				}
				return;
			}
			if (!success) {
				String detail = (cause != null) ? String.valueOf(cause.getMessage()) : "cancelled";
				this.listener.onFailure(new CallFailure(CallFailure.Kind.NOT_CONNECTED, false, detail));
				return;
			}
			this.started = new StartedCall(connection, this.listener);
			connection.start(this.request, this.listener);
		}

		@Override
		public void cancel() {
			this.cancelled = true;
			if (this.started != null) {
				this.started.cancel();
			}
			else if (this.connecting != null) {
				this.connecting.cancel(false);
			}
		}

		@Override
		public void setPaused(boolean paused) {
			if (this.started != null) {
				this.started.setPaused(paused);
			}
		}

	}

}
