package org.tallycart.http.event;

import java.net.InetSocketAddress;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.vavr.control.Either;
import org.tallycart.core.ini.Address;

/**
 * Listens for callers on an event loop.
 * <p>
 * Invariant: once drained, every answer closes its connection. Not thread-safe: after it
 * was started it belongs to its event loop.
 *
 * @since 0.1
 */
public final class HttpServer {

	/** Connections that may wait to be accepted: a burst of callers after a pause. */
	private static final int BACKLOG = 1024;

	private final Channel channel;

	private final ConnectionRegistry registry;

	private HttpServer(Channel channel, ConnectionRegistry registry) {
		this.channel = channel;
		this.registry = registry;
	}

	/**
	 * Listen.
	 * @param group an event loop group of one loop
	 * @param address where; port 0 takes a free one
	 * @param handler handles requests
	 * @return the server, or why the address cannot be listened on
	 */
	public static Either<String, HttpServer> start(EventLoopGroup group, Address address, RequestHandler handler) {
		ConnectionRegistry registry = new ConnectionRegistry();
		ServerBootstrap bootstrap = new ServerBootstrap().group(group)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel accepted) {
					accepted.pipeline().addLast(new CallerConnection(handler, registry));
				}
			});
		ChannelFuture bound = bootstrap.bind(new InetSocketAddress(address.host(), address.port()))
			.awaitUninterruptibly();
		if (!bound.isSuccess()) {
			return Either.left("cannot listen on " + address + ": " + bound.cause().getMessage());
		}
		return Either.right(new HttpServer(bound.channel(), registry));
	}

	/**
	 * Return the port listened on.
	 * @return the port
	 */
	public int port() {
		return ((InetSocketAddress) this.channel.localAddress()).getPort();
	}

	/** Close each connection with its next answer. */
	public void beginDrain() {
		this.registry.drain();
	}

	/** Close connections that carry no request, and the others when theirs has ended. */
	public void closeIdle() {
		this.registry.closeIdle();
	}

	/** Accept no more connections. */
	public void stopListening() {
		this.channel.close();
	}

	/**
	 * Return how many connections carry a request.
	 * @return the count
	 */
	public long busyConnections() {
		return this.registry.busy();
	}

}
