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
 * TCP proxy that does to a connection what a network can: delay, freeze, drop, cut, and
 * half-close, each direction by itself.
 * <p>
 * Thread-safe.
 *
 * @since 0.1
 */
public final class FaultProxy implements AutoCloseable {

	private static final int BUFFER = 16 * 1024;

	private static final long FREEZE_STEP_MS = 5;

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
	 * @param target where it leads
	 * @return the proxy
	 * @throws IOException if no port can be had
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
				Socket onward = new Socket(this.target.host(), this.target.port());
				caller.setTcpNoDelay(true);
				onward.setTcpNoDelay(true);
				this.sockets.add(caller);
				this.sockets.add(onward);
				this.threads.execute(() -> copy(caller, onward, this.towardsTarget));
				this.threads.execute(() -> copy(onward, caller, this.towardsCaller));
			}
			catch (IOException ex) {
				if (this.server.isClosed()) {
					return;
				}
			}
		}
	}

	private void copy(Socket from, Socket to, Direction direction) {
		byte[] buffer = new byte[BUFFER];
		try {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			int count = in.read(buffer);
			while (count >= 0) {
				direction.hold();
				if (!direction.dropping) {
					out.write(buffer, 0, count);
					out.flush();
				}
				count = in.read(buffer);
			}
			to.shutdownOutput();
		}
		catch (IOException ex) {
			closeQuietly(from);
			closeQuietly(to);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Return the direction from the caller to the target.
	 * @return the direction
	 */
	public Direction towardsTarget() {
		return this.towardsTarget;
	}

	/**
	 * Return the direction from the target to the caller.
	 * @return the direction
	 */
	public Direction towardsCaller() {
		return this.towardsCaller;
	}

	/**
	 * Cut all connections now; new ones are made as before.
	 */
	public void closeConnections() {
		this.sockets.forEach(FaultProxy::closeQuietly);
		this.sockets.clear();
	}

	/**
	 * Refuse new connections, or stop refusing them.
	 * @param refuse whether to refuse
	 */
	public void setRefusing(boolean refuse) {
		this.refusing = refuse;
	}

	/**
	 * Return where callers reach the proxy.
	 * @return the address
	 */
	public Address address() {
		return new Address("127.0.0.1", this.server.getLocalPort());
	}

	private static void closeQuietly(Socket socket) {
		try {
			socket.close();
		}
		catch (IOException ex) {
			// The socket is of no further use whether or not it closed well.
		}
	}

	@Override
	public void close() {
		try {
			this.server.close();
		}
		catch (IOException ex) {
			// Nothing is accepted any more.
		}
		closeConnections();
		this.threads.shutdownNow();
	}

	/** One direction of the proxy. Thread-safe. */
	public static final class Direction {

		private volatile long delayMs;

		private volatile boolean frozen;

		private volatile boolean dropping;

		/**
		 * Delay what passes.
		 * @param millis how long
		 */
		public void setDelayMs(long millis) {
			this.delayMs = millis;
		}

		/**
		 * Hold everything back, or let it go.
		 * @param freeze whether to hold
		 */
		public void setFrozen(boolean freeze) {
			this.frozen = freeze;
		}

		/**
		 * Drop everything silently, or stop doing so.
		 * @param drop whether to drop
		 */
		public void setDropping(boolean drop) {
			this.dropping = drop;
		}

		private void hold() throws InterruptedException {
			Thread.sleep(this.delayMs);
			while (this.frozen) {
				Thread.sleep(FREEZE_STEP_MS);
			}
		}

	}

}
