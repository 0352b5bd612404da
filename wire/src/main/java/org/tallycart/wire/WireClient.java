package org.tallycart.wire;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.tallycart.core.ini.Address;
import org.tallycart.core.outcome.UncaughtErrorReporter;
import org.tallycart.wire.message.Envelope;

/**
 * Client of one other process. Connects on first use, and again after a failure.
 * <p>
 * Invariants: messages sent by one thread on one connection arrive in order; every call
 * completes, with a reply or an error, within its timeout. After several consecutive
 * timeouts the connection is closed, since the path may have failed in one direction
 * only. Thread-safe.
 *
 * @since 0.1
 */
public final class WireClient implements WireCaller, AutoCloseable {

	private static final int CONNECT_TIMEOUT_MS = 1_000;

	private static final int MAX_CONSECUTIVE_TIMEOUTS = 3;

	private final EventLoopGroup group;

	private final WireIdentity identity;

	private final Address address;

	private final WireListener listener;

	private final Map<Long, CompletableFuture<Either<WireError, Envelope>>> pending = new ConcurrentHashMap<>();

	private final AtomicLong lastCorrelation = new AtomicLong();

	private final AtomicInteger consecutiveTimeouts = new AtomicInteger();

	private @Nullable ChannelFuture connection;

	private boolean closed;

	WireClient(EventLoopGroup group, WireIdentity identity, Address address, WireListener listener) {
		this.group = group;
		this.identity = identity;
		this.address = address;
		this.listener = listener;
	}

	@Override
	public CompletableFuture<Either<WireError, Envelope>> call(Envelope.Builder message, long timeoutMs) {
		long correlation = this.lastCorrelation.incrementAndGet();
		CompletableFuture<Either<WireError, Envelope>> result = new CompletableFuture<>();
		ChannelFuture channel = connect();
		this.pending.put(correlation, result);
		ScheduledFuture<?> timer = this.group.schedule(() -> onTimeout(correlation), timeoutMs, TimeUnit.MILLISECONDS);
		result.thenRun(() -> timer.cancel(false));
		channel.addListener((done) -> {
			if (!done.isSuccess()) {
				complete(correlation, Either.left(WireError.NOT_CONNECTED));
				return;
			}
			if (this.pending.containsKey(correlation)) {
				write(channel.channel(), message.setCorrelation(correlation), correlation);
			}
		});
		return result;
	}

	private void write(Channel channel, Envelope.Builder message, long correlation) {
		channel.writeAndFlush(this.identity.stamp(message)).addListener((done) -> {
			if (!done.isSuccess()) {
				complete(correlation, Either.left(WireError.CLOSED));
			}
		});
	}

	@Override
	public void send(Envelope.Builder message) {
		ChannelFuture channel = connect();
		channel.addListener((done) -> {
			if (done.isSuccess()) {
				channel.channel().writeAndFlush(this.identity.stamp(message));
			}
		});
	}

	/**
	 * Connect unless a connection is open or being opened.
	 */
	public void ensureConnected() {
		connect();
	}

	private synchronized ChannelFuture connect() {
		ChannelFuture current = this.connection;
		boolean failed = current != null && current.isDone() && !(current.isSuccess() && current.channel().isActive());
		if (current != null && !failed) {
			return current;
		}
		ChannelFuture fresh = new Bootstrap().group(this.group)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
			.handler(new WireCodec(() -> new InboundHandler()))
			.connect(this.address.host(), this.address.port());
		if (this.closed) {
			fresh.channel().close();
		}
		this.consecutiveTimeouts.set(0);
		this.connection = fresh;
		return fresh;
	}

	private void onTimeout(long correlation) {
		if (complete(correlation, Either.left(WireError.TIMED_OUT))
				&& this.consecutiveTimeouts.incrementAndGet() >= MAX_CONSECUTIVE_TIMEOUTS) {
			disconnect();
		}
	}

	private boolean complete(long correlation, Either<WireError, Envelope> outcome) {
		CompletableFuture<Either<WireError, Envelope>> call = this.pending.remove(correlation);
		return call != null && call.complete(outcome);
	}

	/**
	 * Close the connection, so that the next message opens a new one. Used where the path
	 * may have failed without being noticed at either end.
	 */
	public synchronized void disconnect() {
		if (this.connection != null) {
			this.connection.channel().close();
			this.connection = null;
		}
	}

	/**
	 * Return whether the connection is open.
	 * @return {@code true} if the connection is open
	 */
	public synchronized boolean isConnected() {
		return this.connection != null && this.connection.isSuccess() && this.connection.channel().isActive();
	}

	/**
	 * Return the address that this client connects to.
	 * @return the address
	 */
	public Address address() {
		return this.address;
	}

	@Override
	public synchronized void close() {
		this.closed = true;
		disconnect();
	}

	private final class InboundHandler extends SimpleChannelInboundHandler<Envelope> {

		@Override
		public void channelActive(ChannelHandlerContext context) {
			WireClient.this.listener.onOpen();
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, Envelope message) {
			WireClient.this.identity.receive(message);
			WireClient.this.consecutiveTimeouts.set(0);
			if (message.getReply()) {
				complete(message.getCorrelation(), Either.right(message));
			}
			else {
				WireClient.this.listener.onMessage(message);
			}
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			for (Long correlation : WireClient.this.pending.keySet()) {
				complete(correlation, Either.left(WireError.CLOSED));
			}
			WireClient.this.listener.onClosed();
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			UncaughtErrorReporter.report(cause);
			context.close();
		}

	}

}
