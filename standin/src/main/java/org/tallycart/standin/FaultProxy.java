package org.tallycart.standin;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import org.tallycart.core.ini.Address;

/**
 * TCP proxy that injects network faults: delay, stall and loss of data, per direction,
 * and reset and refused connections. It relays the end of a stream as a half-close, and a
 * reset, or an end that follows dropped data, as a reset.
 * <p>
 * The sender sees no error when data is dropped.
 * <p>
 * Thread-safe.
 *
 * @since 0.1
 */
public final class FaultProxy implements AutoCloseable {

	private static final int BUFFER_BYTES = 16 * 1024;

	private static final long FREEZE_POLL_MS = 5;

	private final ServerSocket server;

	private final Address target;

	private final ExecutorService threads = Executors.newCachedThreadPool((task) -> {
		Thread thread = new Thread(task, "fault-proxy");
		thread.setDaemon(true);
		return thread;
	});

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private final Direction towardsTarget = new Direction();

	private final Direction towardsCaller = new Direction();

	private volatile boolean refusing;

	private FaultProxy(ServerSocket server, Address target) {
		this.server = server;
		this.target = target;
	}

	/**
	 * Start a proxy on a free loopback port.
	 * @param target the address that the proxy connects to
	 * @return the proxy
	 * @throws IOException if no port can be bound
	 */
	public static FaultProxy start(Address target) throws IOException {
		FaultProxy proxy = new FaultProxy(new ServerSocket(0, 256, InetAddress.getLoopbackAddress()), target);
		proxy.threads.execute(proxy::accept);
		return proxy;
	}

	private void accept() {
		while (!this.server.isClosed()) {
			try {
				Socket caller = this.server.accept();
				if (this.refusing) {
					caller.close();
					continue;
				}
				Socket upstream = new Socket(this.target.host(), this.target.port());
				caller.setTcpNoDelay(true);
				upstream.setTcpNoDelay(true);
				this.sockets.add(caller);
				this.sockets.add(upstream);
				this.threads.execute(() -> relay(caller, upstream, this.towardsTarget));
				this.threads.execute(() -> relay(upstream, caller, this.towardsCaller));
			}
			catch (IOException ex) {
				if (this.server.isClosed()) {
					return;
				}
			}
		}
	}

	private void relay(Socket from, Socket to, Direction direction) {
		byte[] buffer = new byte[BUFFER_BYTES];
		try {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			boolean dropped = false;
			int count = in.read(buffer);
			while (count >= 0) {
				direction.awaitDelivery();
				dropped |= direction.dropping;
				if (!direction.dropping) {
					out.write(buffer, 0, count);
					out.flush();
				}
				count = in.read(buffer);
			}
			if (dropped) {
				reset(from);
				reset(to);
			}
			else {
				to.shutdownOutput();
			}
		}
		catch (IOException ex) {
			reset(from);
			reset(to);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Return the controls for data sent from the caller to the target.
	 * @return the direction
	 */
	public Direction towardsTarget() {
		return this.towardsTarget;
	}

	/**
	 * Return the controls for data sent from the target to the caller.
	 * @return the direction
	 */
	public Direction towardsCaller() {
		return this.towardsCaller;
	}

	/**
	 * Reset all current connections. New connections are still accepted.
	 */
	public void closeConnections() {
		this.sockets.forEach(FaultProxy::reset);
		this.sockets.clear();
	}

	/**
	 * Set whether new connections are refused. Open connections are not affected.
	 * @param refuse true to refuse
	 */
	public void setRefusing(boolean refuse) {
		this.refusing = refuse;
	}

	/**
	 * Return the address on which the proxy listens.
	 * @return the address
	 */
	public Address address() {
		return new Address("127.0.0.1", this.server.getLocalPort());
	}

	private static void reset(Socket socket) {
		try {
			socket.setSoLinger(true, 0);
			socket.close();
		}
		catch (IOException ex) {
			// A failed close leaves nothing to clean up.
		}
	}

	@Override
	public void close() {
		try {
			this.server.close();
		}
		catch (IOException ex) {
			// A failed close leaves nothing to clean up.
		}
		closeConnections();
		this.threads.shutdownNow();
	}

	/** Fault controls for one direction of the proxy. Thread-safe. */
	public static final class Direction {

		private volatile long delayMs;

		private volatile boolean frozen;

		private volatile boolean dropping;

		/**
		 * Set the delay added to each chunk of data.
		 * @param millis delay in milliseconds; 0 for none
		 */
		public void setDelayMs(long millis) {
			this.delayMs = millis;
		}

		/**
		 * Set whether data is held back. Held data is delivered once the direction is no
		 * longer frozen.
		 * @param freeze true to hold data back
		 */
		public void setFrozen(boolean freeze) {
			this.frozen = freeze;
		}

		/**
		 * Set whether data is discarded without an error.
		 * @param drop true to discard data
		 */
		public void setDropping(boolean drop) {
			this.dropping = drop;
		}

		private void awaitDelivery() throws InterruptedException {
			Thread.sleep(this.delayMs);
			while (this.frozen) {
				Thread.sleep(FREEZE_POLL_MS);
			}
		}

	}

}
