package org.tallycart.http.event;

import java.net.InetSocketAddress;
import java.util.function.IntPredicate;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.vavr.control.Either;
import org.tallycart.core.ini.Address;

/**
 * HTTP server for callers, on an event loop.
 * <p>
 * Invariant: once draining, every response closes its connection. Not thread-safe: after
 * the start it is confined to its event loop.
 *
 * @since 0.1
 */
public final class HttpServer {

	/** Maximum number of connections that wait to be accepted. */
	private static final int BACKLOG = 1024;

	private final Channel channel;

	private final ConnectionRegistry registry;

	private HttpServer(Channel channel, ConnectionRegistry registry) {
		this.channel = channel;
		this.registry = registry;
	}

	/**
	 * Bind to an address and start to accept connections.
	 * @param group an event loop group of one loop
	 * @param address the address to bind; port 0 selects a free port
	 * @param handler the handler of requests
	 * @return the server, or an error text if the address cannot be bound
	 */
	public static Either<String, HttpServer> start(EventLoopGroup group, Address address, RequestHandler handler) {
		return start(group, address, handler, (openConnections) -> true);
	}

	/**
	 * Bind to an address and start to accept connections. A connection that is not
	 * admitted is closed before anything is read from it.
	 * @param group an event loop group of one loop
	 * @param address the address to bind; port 0 selects a free port
	 * @param handler the handler of requests
	 * @param admission decides, given the number of open connections, whether a new one
	 * is admitted; called on the event loop
	 * @return the server, or an error text if the address cannot be bound
	 */
	public static Either<String, HttpServer> start(EventLoopGroup group, Address address, RequestHandler handler,
			IntPredicate admission) {
		ConnectionRegistry registry = new ConnectionRegistry();
		ServerBootstrap bootstrap = new ServerBootstrap().group(group)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			.option(ChannelOption.RCVBUF_ALLOCATOR, acceptAllWaiting())
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel accepted) {
					if (admission.test(registry.openCount())) {
						accepted.pipeline().addLast(new CallerConnection(handler, registry));
					}
					else {
						accepted.close();
					}
				}
			});
		ChannelFuture bound = bootstrap.bind(new InetSocketAddress(address.host(), address.port()))
			.awaitUninterruptibly();
		if (!bound.isSuccess()) {
			return Either.left("cannot listen on " + address + ": " + bound.cause().getMessage());
		}
		return Either.right(new HttpServer(bound.channel(), registry));
	}

	// Connections that are left waiting can't be rejected in favour of another VM.
	private static RecvByteBufAllocator acceptAllWaiting() {
		return new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(BACKLOG);
	}

	/**
	 * Return the bound port.
	 * @return the port number
	 */
	public int port() {
		return ((InetSocketAddress) this.channel.localAddress()).getPort();
	}

	/** Start draining: close each connection with its next response. */
	public void beginDrain() {
		this.registry.beginDrain();
	}

	/** Close idle connections, and the others once their current request has ended. */
	public void closeIdle() {
		this.registry.closeIdle();
	}

	/** Stop accepting connections. */
	public void stopListening() {
		this.channel.close();
	}

	/**
	 * Return the number of connections that carry a request.
	 * @return the count
	 */
	public long busyConnections() {
		return this.registry.busyCount();
	}

}
