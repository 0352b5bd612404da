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
 * A connection to one other process, made when first needed and again after a failure.
 * <p>
 * Invariants: messages sent by one thread on one connection arrive in order; every call
 * ends, with a reply or an error, within its time. After several calls in a row went
 * unanswered the connection is cut, since the path may be dead in one direction.
 * Thread-safe.
 *
 * @since 0.1
 */
public final class WireClient implements WireCaller, AutoCloseable {

	private static final int CONNECT_TIMEOUT_MS = 1_000;

	private static final int TIMEOUTS_TO_CUT = 3;

	private final EventLoopGroup group;

	private final WireIdentity identity;

	private final Address address;

	private final WireListener listener;

	private final Map<Long, CompletableFuture<Either<WireError, Envelope>>> pending = new ConcurrentHashMap<>();

	private final AtomicLong correlations = new AtomicLong();

	private final AtomicInteger timeoutsInRow = new AtomicInteger();

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
		long correlation = this.correlations.incrementAndGet();
		CompletableFuture<Either<WireError, Envelope>> result = new CompletableFuture<>();
		ChannelFuture channel = connect();
		this.pending.put(correlation, result);
		ScheduledFuture<?> timer = this.group.schedule(() -> timeOut(correlation), timeoutMs, TimeUnit.MILLISECONDS);
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
	 * Connect, if no connection is open or being made.
	 */
	public void ensureConnected() {
		connect();
	}

	private synchronized ChannelFuture connect() {
		ChannelFuture present = this.connection;
		boolean dead = present != null && present.isDone() && !(present.isSuccess() && present.channel().isActive());
		if (present != null && !dead) {
			return present;
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
		this.timeoutsInRow.set(0);
		this.connection = fresh;
		return fresh;
	}

	private void timeOut(long correlation) {
		if (complete(correlation, Either.left(WireError.TIMED_OUT))
				&& this.timeoutsInRow.incrementAndGet() >= TIMEOUTS_TO_CUT) {
			disconnect();
		}
	}

	private boolean complete(long correlation, Either<WireError, Envelope> outcome) {
		CompletableFuture<Either<WireError, Envelope>> waiting = this.pending.remove(correlation);
		return waiting != null && waiting.complete(outcome);
	}

	/**
	 * Close the connection, so that the next message makes a new one: the path may be
	 * dead without either end having noticed.
	 */
	public synchronized void disconnect() {
		if (this.connection != null) {
			this.connection.channel().close();
			this.connection = null;
		}
	}

	/**
	 * Return whether the connection is open now.
	 * @return true if it is
	 */
	public synchronized boolean isConnected() {
		return this.connection != null && this.connection.isSuccess() && this.connection.channel().isActive();
	}

	/**
	 * Return where this client leads.
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
			WireClient.this.timeoutsInRow.set(0);
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
