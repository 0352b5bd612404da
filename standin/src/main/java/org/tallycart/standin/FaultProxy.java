package org.tallycart.standin;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.BindException;
import java.net.Socket;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import org.tallycart.core.ini.Address;

/**
 * TCP proxy that injects network faults: delay, stall and loss of data, per direction,
 * and reset and refused connections. It relays the end of a stream as a half-close, and a
 * reset, or an end that follows dropped data, as a reset. It can also answer requests in
 * place of the target.
 * <p>
 * The sender sees no error when data is dropped. A proxy that listens on several hosts
 * can be cut off for the callers of one of them, while the callers of the others reach
 * the target.
 * <p>
 * Thread-safe.
 *
 * @since 0.1
 */
public final class FaultProxy implements AutoCloseable {

	private static final int BUFFER_BYTES = 16 * 1024;

	private static final long FREEZE_POLL_MS = 5;

	private static final String LOOPBACK = "127.0.0.1";

	/** Attempts to find a port that is free on all hosts. */
	private static final int MAX_PORT_ATTEMPTS = 20;

	private final Map<String, FaultProxyListener> listeners = new LinkedHashMap<>();

	private final Address target;

	private final ExecutorService threads = Executors.newCachedThreadPool((task) -> {
		Thread thread = new Thread(task, "fault-proxy");
		thread.setDaemon(true);
		return thread;
	});

	private final Direction towardsTarget = new Direction();

	private final Direction towardsCaller = new Direction();

	private volatile boolean refusing;

	private volatile Optional<ReplyOverride> replyOverride = Optional.empty();

	private FaultProxy(Address target) {
		this.target = target;
	}

	/**
	 * Start a proxy on a free loopback port.
	 * @param target the address that the proxy connects to
	 * @return the proxy
	 * @throws IOException if no port can be bound
	 */
	public static FaultProxy start(Address target) throws IOException {
		return start(target, List.of(LOOPBACK));
	}

	/**
	 * Start a proxy on a port that is free on several loopback hosts.
	 * @param target the address that the proxy connects to
	 * @param hosts the hosts, such as {@code 127.0.0.2}
	 * @return the proxy
	 * @throws IOException if no port can be bound on all hosts
	 */
	public static FaultProxy start(Address target, List<String> hosts) throws IOException {
		FaultProxy proxy = new FaultProxy(target);
		proxy.listen(hosts, MAX_PORT_ATTEMPTS);
		proxy.listeners.values().forEach((listener) -> proxy.threads.execute(listener::accept));
		return proxy;
	}

	private void listen(List<String> hosts, int attempts) throws IOException {
		int port = 0;
		try {
			for (String host : hosts) {
				FaultProxyListener listener = FaultProxyListener.open(host, port, this::onAccepted);
				this.listeners.put(host, listener);
				port = listener.port();
			}
		}
		catch (BindException ex) {
			this.listeners.values().forEach(FaultProxyListener::close);
			this.listeners.clear();
			if (attempts <= 1) {
				throw ex;
			}
			listen(hosts, attempts - 1);
		}
	}

	private void onAccepted(FaultProxyListener listener, Socket caller) throws IOException {
		if (this.refusing) {
			caller.close();
			return;
		}
		Socket upstream = new Socket(this.target.host(), this.target.port());
		caller.setTcpNoDelay(true);
		upstream.setTcpNoDelay(true);
		listener.add(caller, upstream);
		this.threads.execute(() -> relay(caller, upstream, this.towardsTarget, listener));
		this.threads.execute(() -> relay(upstream, caller, this.towardsCaller, listener));
	}

	private void relay(Socket from, Socket to, Direction direction, FaultProxyListener listener) {
		byte[] buffer = new byte[BUFFER_BYTES];
		try {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			boolean dropped = false;
			int count = in.read(buffer);
			while (count >= 0) {
				direction.awaitDelivery();
				listener.awaitDelivery();
				Optional<ReplyOverride> override = this.replyOverride;
				if (direction == this.towardsTarget && override.isPresent()) {
					override.get().reply(Arrays.copyOf(buffer, count), from.getOutputStream());
				}
				dropped |= direction.dropping;
				if (!direction.dropping) {
					out.write(buffer, 0, count);
					out.flush();
				}
				count = in.read(buffer);
			}
			listener.awaitDelivery();
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
	 * Cut off the callers of one host.
	 * @param host the host
	 * @param kind what they see
	 */
	public void cut(String host, Cut kind) {
		listener(host).cut(kind);
	}

	/**
	 * End the cut of one host. Data that was held back is delivered.
	 * @param host the host
	 */
	public void heal(String host) {
		listener(host).heal();
	}

	private FaultProxyListener listener(String host) {
		FaultProxyListener listener = this.listeners.get(host);
		if (listener == null) {
			throw new IllegalArgumentException("the proxy does not listen on " + host);
		}
		return listener;
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
		this.listeners.values().forEach(FaultProxyListener::resetConnections);
	}

	/**
	 * Set whether new connections are refused. Open connections are not affected.
	 * @param refuse true to refuse
	 */
	public void setRefusing(boolean refuse) {
		this.refusing = refuse;
	}

	/**
	 * Set what answers further requests in place of the target.
	 * @param override the override; empty to pass requests on
	 */
	public void setReplyOverride(Optional<ReplyOverride> override) {
		this.replyOverride = override;
	}

	/**
	 * Return the address on which the proxy listens.
	 * @return the address
	 */
	public Address address() {
		return this.listeners.values().iterator().next().address();
	}

	static void reset(Socket socket) {
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
		this.listeners.values().forEach(FaultProxyListener::close);
		closeConnections();
		this.threads.shutdownNow();
	}

	/** Answers requests in place of the target. */
	@FunctionalInterface
	public interface ReplyOverride {

		/**
		 * Answer a request until the connection fails.
		 * @param request the bytes of the request, or the first of them
		 * @param out the output to the caller
		 * @throws IOException when the connection has failed; it is reset then
		 */
		void reply(byte[] request, OutputStream out) throws IOException;

	}

	/** What callers that are cut off see. */
	public enum Cut {

		/** Nothing arrives in either direction, and new connections are not answered. */
		SILENT,
		/** Connections are reset, and new ones are refused. */
		RESET,
		/** Open connections live on, and new ones are refused. */
		NEW_REFUSED,
		/** Open connections live on, and new ones are not answered. */
		NEW_SILENT

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
