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
import java.util.concurrent.TimeUnit;

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

	/** Time in which the accepting thread must hold a connection, in milliseconds. */
	private static final long HELD_TIMEOUT_MS = 10_000;

	/** Time in which the address of a closed listener must be free, in milliseconds. */
	private static final long BIND_TIMEOUT_MS = 10_000;

	private static final long POLL_MS = 5;

	private final InetSocketAddress address;

	private final AcceptHandler handler;

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private final List<Socket> fillers = new ArrayList<>();

	private volatile ServerSocket server;

	private volatile boolean holdingData;

	/** Guards the two fields that follow. */
	private final Object connectionLock = new Object();

	private boolean holdingConnections;

	private boolean connectionHeld;

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
				hold();
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

	// Holds the accepted connection while the listener leaves connections unanswered.
	private void hold() throws InterruptedException {
		synchronized (this.connectionLock) {
			while (this.holdingConnections) {
				this.connectionHeld = true;
				this.connectionLock.notifyAll();
				this.connectionLock.wait();
			}
			this.connectionHeld = false;
		}
	}

	private void setHoldingConnections(boolean holding) {
		synchronized (this.connectionLock) {
			this.holdingConnections = holding;
			this.connectionLock.notifyAll();
		}
	}

	private void awaitHeldConnection() {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(HELD_TIMEOUT_MS);
		synchronized (this.connectionLock) {
			while (!this.connectionHeld) {
				if (System.nanoTime() >= end) {
					throw new IllegalStateException("no connection to " + this.address + " is held");
				}
				try {
					this.connectionLock.wait(POLL_MS);
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
					throw new IllegalStateException(ex);
				}
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

	// Fills the queue of connections, after which the kernel answers no more of them. The
	// accepting thread takes one out of the queue first: one taken later would leave room
	// for a caller. A listener that is closed refuses connections.
	private void leaveUnanswered() {
		setHoldingConnections(true);
		fill();
		if (this.server.isClosed()) {
			return;
		}
		awaitHeldConnection();
		int count = 0;
		while (fill()) {
			count++;
			if (count > 2 * BACKLOG) {
				throw new IllegalStateException("the queue of " + this.address + " could not be filled");
			}
		}
	}

	// Opens a connection, and returns whether it was answered.
	private boolean fill() {
		Socket filler = new Socket();
		this.fillers.add(filler);
		try {
			filler.connect(this.address, UNANSWERED_MS);
			return true;
		}
		catch (SocketTimeoutException ex) {
			return false;
		}
		catch (IOException ex) {
			if (this.server.isClosed()) {
				return false;
			}
			throw new IllegalStateException("the queue of " + this.address + " could not be filled", ex);
		}
	}

	synchronized void heal() {
		this.fillers.forEach(FaultProxy::reset);
		this.fillers.clear();
		setHoldingConnections(false);
		this.holdingData = false;
		if (this.server.isClosed() && !this.closed) {
			this.server = bindAgain();
		}
	}

	// The kernel releases the address once the accepting thread has left the closed
	// listener.
	private ServerSocket bindAgain() {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(BIND_TIMEOUT_MS);
		while (true) {
			try {
				return bind(this.address);
			}
			catch (IOException ex) {
				if (System.nanoTime() >= end) {
					throw new IllegalStateException("cannot listen on " + this.address + " again", ex);
				}
				pause();
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
		setHoldingConnections(false);
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
