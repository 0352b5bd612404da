package org.tallycart.wire;

import java.net.InetSocketAddress;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
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
 * Listens for other processes of this system.
 * <p>
 * Thread-safe.
 *
 * @since 0.1
 */
public final class WireServer implements AutoCloseable {

	private final Channel channel;

	private final ChannelGroup accepted;

	private WireServer(Channel channel, ChannelGroup accepted) {
		this.channel = channel;
		this.accepted = accepted;
	}

	static Either<String, WireServer> start(EventLoopGroup group, WireIdentity identity, Address address,
			WireHandler handler) {
		ChannelGroup accepted = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
		ServerBootstrap bootstrap = new ServerBootstrap().group(group)
			.channel(NioServerSocketChannel.class)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new WireCodec(() -> new InboundHandler(identity, handler, accepted)));
		ChannelFuture bound = bootstrap.bind(new InetSocketAddress(address.host(), address.port()))
			.awaitUninterruptibly();
		if (!bound.isSuccess()) {
			return Either.left("cannot listen on " + address + ": " + bound.cause().getMessage());
		}
		return Either.right(new WireServer(bound.channel(), accepted));
	}

	/**
	 * Return the port listened on.
	 * @return the port
	 */
	public int port() {
		return ((InetSocketAddress) this.channel.localAddress()).getPort();
	}

	@Override
	public void close() {
		this.channel.close().awaitUninterruptibly();
		this.accepted.close().awaitUninterruptibly();
	}

	private static final class InboundHandler extends SimpleChannelInboundHandler<Envelope> {

		private final WireIdentity identity;

		private final WireHandler handler;

		private final ChannelGroup accepted;

		private InboundHandler(WireIdentity identity, WireHandler handler, ChannelGroup accepted) {
			this.identity = identity;
			this.handler = handler;
			this.accepted = accepted;
		}

		@Override
		public void channelActive(ChannelHandlerContext context) {
			this.accepted.add(context.channel());
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
		public boolean isOpen() {
			return this.channel.isActive();
		}

	}

}
