package org.tallycart.wire;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vavr.control.Either;
import org.tallycart.core.ini.Address;

/**
 * The threads and the identity that all of a process's connections to its own kind share.
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
	 * Create a transport.
	 * @param identity who this process is
	 * @return the transport
	 */
	public static WireTransport create(WireIdentity identity) {
		return create(identity, new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory()));
	}

	/**
	 * Create a transport on event loops that the process has already.
	 * @param identity who this process is
	 * @param group the event loops; closed with the transport
	 * @return the transport
	 */
	public static WireTransport create(WireIdentity identity, EventLoopGroup group) {
		return new WireTransport(identity, group);
	}

	/**
	 * Listen for other processes.
	 * @param address where; port 0 takes a free one
	 * @param handler handles what arrives
	 * @return the server, or why the address cannot be listened on
	 */
	public Either<String, WireServer> listen(Address address, WireHandler handler) {
		return WireServer.start(this.group, this.identity, address, handler);
	}

	/**
	 * Create a client, which connects when it is first used and again after a failure.
	 * @param address where to
	 * @return the client
	 */
	public WireClient client(Address address) {
		return client(address, (message) -> {
		});
	}

	/**
	 * Create a client that also takes messages the other side sends of its own accord.
	 * @param address where to
	 * @param listener takes those messages, on a transport thread
	 * @return the client
	 */
	public WireClient client(Address address, WireListener listener) {
		return new WireClient(this.group, this.identity, address, listener);
	}

	/**
	 * Return who this process is.
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
