package org.tallycart.wire;

import java.net.InetSocketAddress;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import io.vavr.control.Either;
import org.tallycart.core.ini.Address;
import org.tallycart.core.outcome.UncaughtErrorReporter;
import org.tallycart.wire.message.Envelope;

/**
 * Server that accepts connections from other processes of this system.
 * <p>
 * Thread-safe.
 *
 * @since 0.1
 */
public final class WireServer implements AutoCloseable {

	private final Channel channel;

	private final ChannelGroup connections;

	private WireServer(Channel channel, ChannelGroup connections) {
		this.channel = channel;
		this.connections = connections;
	}

	static Either<String, WireServer> start(EventLoopGroup group, WireIdentity identity, Address address,
			WireHandler handler) {
		ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
		ServerBootstrap bootstrap = new ServerBootstrap().group(group)
			.channel(NioServerSocketChannel.class)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new WireCodec(() -> new InboundHandler(identity, handler, connections)));
		ChannelFuture bound = bootstrap.bind(new InetSocketAddress(address.host(), address.port()))
			.awaitUninterruptibly();
		if (!bound.isSuccess()) {
			return Either.left("cannot listen on " + address + ": " + bound.cause().getMessage());
		}
		return Either.right(new WireServer(bound.channel(), connections));
	}

	/**
	 * Return the port that the server listens on.
	 * @return the port
	 */
	public int port() {
		return ((InetSocketAddress) this.channel.localAddress()).getPort();
	}

	@Override
	public void close() {
		this.channel.close().awaitUninterruptibly();
		this.connections.close().awaitUninterruptibly();
	}

	private static final class InboundHandler extends SimpleChannelInboundHandler<Envelope> {

		private final WireIdentity identity;

		private final WireHandler handler;

		private final ChannelGroup connections;

		private InboundHandler(WireIdentity identity, WireHandler handler, ChannelGroup connections) {
			this.identity = identity;
			this.handler = handler;
			this.connections = connections;
		}

		@Override
		public void channelActive(ChannelHandlerContext context) {
			this.connections.add(context.channel());
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, Envelope message) {
			this.identity.receive(message);
			this.handler.onMessage(new ChannelPeer(context.channel(), this.identity), message);
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			UncaughtErrorReporter.report(cause);
			context.close();
		}

	}

	private record ChannelPeer(Channel channel, WireIdentity identity) implements WirePeer {

		@Override
		public void reply(Envelope call, Envelope.Builder reply) {
			if (call.getCorrelation() != 0) {
				send(reply.setReply(true).setCorrelation(call.getCorrelation()));
			}
		}

		@Override
		public void send(Envelope.Builder message) {
			this.channel.writeAndFlush(this.identity.stamp(message));
		}

		@Override
		public long queuedBytes() {
			ChannelOutboundBuffer queue = this.channel.unsafe().outboundBuffer();
			return (queue != null) ? queue.totalPendingWriteBytes() : 0;
		}

		@Override
		public boolean isOpen() {
			return this.channel.isActive();
		}

	}

}
