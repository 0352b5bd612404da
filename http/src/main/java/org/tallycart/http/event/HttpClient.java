package org.tallycart.http.event;

import java.net.ConnectException;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.jspecify.annotations.Nullable;
import org.tallycart.core.ini.Address;

/**
 * Makes calls on an event loop, on kept connections where that is allowed.
 * <p>
 * Invariant: no call is ever sent twice; a failure says whether a byte of it may have
 * left. Not thread-safe: belongs to its event loop.
 *
 * @since 0.1
 */
public final class HttpClient {

	private final EventLoopGroup group;

	private final LongSupplier nowMs;

	private final Map<String, ConnectionPool> pools = new HashMap<>();

	private HttpClient(EventLoopGroup group, LongSupplier nowMs) {
		this.group = group;
		this.nowMs = nowMs;
	}

	/**
	 * Create a client.
	 * @param group an event loop group of one loop
	 * @param nowMs the steady clock, in milliseconds
	 * @return the client
	 */
	public static HttpClient create(EventLoopGroup group, LongSupplier nowMs) {
		return new HttpClient(group, nowMs);
	}

	/**
	 * Make a call.
	 * @param exchange what to send, and where
	 * @param listener hears of the reply
	 * @return the call in progress
	 */
	public Call call(ClientRequest exchange, ReplyListener listener) {
		if (exchange.body().length > 0 || !"GET".equals(exchange.head().getMethod())) {
			exchange.head().setHeader("Content-Length", String.valueOf(exchange.body().length));
		}
		ConnectionPool pool = this.pools.computeIfAbsent(exchange.poolName(), (key) -> new ConnectionPool(this.nowMs));
		UpstreamConnection kept = exchange.reuseConnection() ? pool.take() : null;
		if (kept != null) {
			kept.start(exchange, listener);
			return new StartedCall(kept, listener);
		}
		ConnectingCall call = new ConnectingCall(exchange, listener, pool);
		call.connect();
		return call;
	}

	/**
	 * Close the kept connections of a pool and forget it.
	 * @param pool the pool
	 */
	public void closePool(String pool) {
		ConnectionPool present = this.pools.remove(pool);
		if (present != null) {
			present.closeAll();
		}
	}

	/** Close kept connections that are too old to be used; to be called now and then. */
	public void closeStale() {
		this.pools.values().forEach(ConnectionPool::closeStale);
	}

	/**
	 * Find out whether a process listens at an address, by a connection that is closed
	 * again at once.
	 * @param address the address
	 * @param timeoutMs how long to wait, in milliseconds
	 * @param consumer takes the outcome, on the event loop
	 */
	public void probe(Address address, int timeoutMs, Consumer<ProbeResult> consumer) {
		ChannelFuture future = new Bootstrap().group(this.group)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs)
			.handler(new ChannelInboundHandlerAdapter())
			.connect(address.host(), address.port());
		future.addListener((done) -> {
			future.channel().close();
			consumer.accept(presence(done.cause()));
		});
	}

	private static ProbeResult presence(@Nullable Throwable failure) {
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
			if (this.connection.carries(this.listener)) {
				this.connection.discard();
			}
		}

		@Override
		public void setPaused(boolean paused) {
			if (this.connection.carries(this.listener)) {
				this.connection.pause(paused);
			}
		}

	}

	/** A call that waits for its connection first. */
	private final class ConnectingCall implements Call {

		private final ClientRequest exchange;

		private final ReplyListener listener;

		private final ConnectionPool pool;

		private @Nullable ChannelFuture connecting;

		private @Nullable StartedCall started;

		private boolean cancelled;

		private ConnectingCall(ClientRequest exchange, ReplyListener listener, ConnectionPool pool) {
			this.exchange = exchange;
			this.listener = listener;
			this.pool = pool;
		}

		private void connect() {
			UpstreamConnection connection = new UpstreamConnection(this.pool);
			ChannelFuture future = new Bootstrap().group(HttpClient.this.group)
				.channel(NioSocketChannel.class)
				.option(ChannelOption.TCP_NODELAY, true)
				.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, this.exchange.connectTimeoutMs())
				.handler(connection)
				.connect(this.exchange.address().host(), this.exchange.address().port());
			this.connecting = future;
			future.addListener((done) -> onConnected(connection, done.isSuccess(), done.cause()));
		}

		private void onConnected(UpstreamConnection connection, boolean success, @Nullable Throwable cause) {
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
			connection.start(this.exchange, this.listener);
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
