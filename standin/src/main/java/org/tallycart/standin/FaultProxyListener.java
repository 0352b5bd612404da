package org.tallycart.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.tallycart.core.ini.Address;

/**
 * Listener of a {@link FaultProxy} on one host, and the connections that it accepted.
 * <p>
 * Thread-safe.
 */
final class FaultProxyListener {

	/**
	 * Length of the queue of connections that wait to be accepted; short, so that it can
	 * be filled to leave new connections unanswered.
	 */
	private static final int BACKLOG = 8;

	/** Time after which a connection counts as unanswered, in milliseconds. */
	private static final int UNANSWERED_MS = 50;

	private static final long POLL_MS = 5;

	private final InetSocketAddress address;

	private final AcceptHandler handler;

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private final List<Socket> fillers = new ArrayList<>();

	private volatile ServerSocket server;

	private volatile boolean holdingData;

	private volatile boolean holdingConnections;

	private volatile boolean closed;

	private FaultProxyListener(ServerSocket server, AcceptHandler handler) {
		this.server = server;
		this.address = (InetSocketAddress) server.getLocalSocketAddress();
		this.handler = handler;
	}

	static FaultProxyListener open(String host, int port, AcceptHandler handler) throws IOException {
		return new FaultProxyListener(bind(new InetSocketAddress(host, port)), handler);
	}

	private static ServerSocket bind(InetSocketAddress address) throws IOException {
		ServerSocket server = new ServerSocket();
		server.setReuseAddress(true);
		try {
			server.bind(address, BACKLOG);
		}
		catch (IOException ex) {
			server.close();
			throw ex;
		}
		return server;
	}

	int port() {
		return this.address.getPort();
	}

	Address address() {
		return new Address(this.address.getHostString(), this.address.getPort());
	}

	void accept() {
		while (!this.closed) {
			try {
				Socket caller = this.server.accept();
				while (this.holdingConnections) {
					Thread.sleep(POLL_MS);
				}
				handle(caller);
			}
			catch (IOException ex) {
				// The listener is closed, or cut off and bound again later.
				pause();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return;
			}
		}
	}

	private void handle(Socket caller) throws IOException {
		try {
			this.handler.onAccepted(this, caller);
		}
		catch (IOException ex) {
			FaultProxy.reset(caller);
			throw ex;
		}
	}

	void add(Socket caller, Socket upstream) {
		this.sockets.add(caller);
		this.sockets.add(upstream);
	}

	void awaitDelivery() throws InterruptedException {
		while (this.holdingData) {
			Thread.sleep(POLL_MS);
		}
	}

	synchronized void cut(FaultProxy.Cut kind) {
		switch (kind) {
			case SILENT -> {
				this.holdingData = true;
				leaveUnanswered();
			}
			case RESET -> {
				closeServer();
				resetConnections();
			}
			case NEW_REFUSED -> closeServer();
			case NEW_SILENT -> leaveUnanswered();
		}
	}

	// Fills the queue of connections, after which the kernel answers no more of them. A
	// listener that is closed refuses them.
	private void leaveUnanswered() {
		this.holdingConnections = true;
		for (int i = 0; i < 2 * BACKLOG; i++) {
			Socket filler = new Socket();
			this.fillers.add(filler);
			try {
				filler.connect(this.address, UNANSWERED_MS);
			}
			catch (SocketTimeoutException ex) {
				return;
			}
			catch (IOException ex) {
				if (this.server.isClosed()) {
					return;
				}
				throw new IllegalStateException("the queue of " + this.address + " could not be filled", ex);
			}
		}
	}

	synchronized void heal() {
		this.fillers.forEach(FaultProxy::reset);
		this.fillers.clear();
		this.holdingConnections = false;
		this.holdingData = false;
		if (this.server.isClosed() && !this.closed) {
			try {
				this.server = bind(this.address);
			}
			catch (IOException ex) {
				throw new IllegalStateException("cannot listen on " + this.address + " again", ex);
			}
		}
	}

	void resetConnections() {
		this.sockets.forEach(FaultProxy::reset);
		this.sockets.clear();
	}

	private void closeServer() {
		try {
			this.server.close();
		}
		catch (IOException ex) {
			// A failed close leaves nothing to clean up.
		}
	}

	synchronized void close() {
		this.closed = true;
		closeServer();
		this.fillers.forEach(FaultProxy::reset);
		this.fillers.clear();
		this.holdingConnections = false;
		this.holdingData = false;
	}

	private static void pause() {
		try {
			Thread.sleep(POLL_MS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/** Handles accepted connections. */
	@FunctionalInterface
	interface AcceptHandler {

		/**
		 * Handle a connection.
		 * @param listener the listener that accepted it
		 * @param caller the connection
		 * @throws IOException if the target cannot be connected to
		 */
		void onAccepted(FaultProxyListener listener, Socket caller) throws IOException;

	}

}
