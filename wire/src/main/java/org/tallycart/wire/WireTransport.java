package org.tallycart.wire;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vavr.control.Either;
import org.tallycart.core.ini.Address;

/**
 * Creates servers and clients that share the event loops and the identity of this
 * process.
 * <p>
 * Thread-safe.
 *
 * @since 0.1
 */
public final class WireTransport implements AutoCloseable {

	private static final int THREADS = 2;

	private final EventLoopGroup group;

	private final WireIdentity identity;

	private WireTransport(WireIdentity identity, EventLoopGroup group) {
		this.identity = identity;
		this.group = group;
	}

	/**
	 * Create a transport with its own event loops.
	 * @param identity the identity of this process
	 * @return the transport
	 */
	public static WireTransport create(WireIdentity identity) {
		return create(identity, new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory()));
	}

	/**
	 * Create a transport on existing event loops.
	 * @param identity the identity of this process
	 * @param group the event loops, which are shut down with the transport
	 * @return the transport
	 */
	public static WireTransport create(WireIdentity identity, EventLoopGroup group) {
		return new WireTransport(identity, group);
	}

	/**
	 * Start a server.
	 * @param address the address to listen on; port 0 selects a free port
	 * @param handler handles received messages, on a transport thread
	 * @return the server, or the reason why it cannot listen on the address
	 */
	public Either<String, WireServer> listen(Address address, WireHandler handler) {
		return WireServer.start(this.group, this.identity, address, handler);
	}

	/**
	 * Create a client that ignores messages that are not replies. The client connects on
	 * first use, and again after a failure.
	 * @param address the address to connect to
	 * @return the client
	 */
	public WireClient client(Address address) {
		return client(address, (message) -> {
		});
	}

	/**
	 * Create a client with a listener of messages that are not replies. The client
	 * connects on first use, and again after a failure.
	 * @param address the address to connect to
	 * @param listener receives the messages and events of the connection, on a transport
	 * thread
	 * @return the client
	 */
	public WireClient client(Address address, WireListener listener) {
		return new WireClient(this.group, this.identity, address, listener);
	}

	/**
	 * Return the identity of this process.
	 * @return the identity
	 */
	public WireIdentity identity() {
		return this.identity;
	}

	@Override
	public void close() {
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

}
