package org.tallycart.node;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

import org.tallycart.core.ini.Address;

/**
 * An upstream of which a test states each byte and how its connections end. Serves one
 * connection at a time.
 * <p>
 * Thread-safe.
 */
final class RawUpstream implements AutoCloseable {

	private static final int BACKLOG = 50;

	private final ServerSocket server;

	private final Handler handler;

	private RawUpstream(ServerSocket server, Handler handler) {
		this.server = server;
		this.handler = handler;
	}

	static RawUpstream start(Handler handler) {
		try {
			RawUpstream upstream = new RawUpstream(new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress()),
					handler);
			Thread accepting = new Thread(upstream::accept);
			accepting.setDaemon(true);
			accepting.start();
			return upstream;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private void accept() {
		while (!this.server.isClosed()) {
			try (Socket vm = this.server.accept()) {
				this.handler.serve(vm);
			}
			catch (IOException ex) {
				// The VM has closed the connection, or the test has ended.
			}
		}
	}

	Address address() {
		return new Address("127.0.0.1", this.server.getLocalPort());
	}

	@Override
	public void close() {
		try {
			this.server.close();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/** Serves a connection, which is closed afterwards. */
	interface Handler {

		/**
		 * Serve a connection.
		 * @param vm the connection
		 * @throws IOException if it is closed by the VM
		 */
		void serve(Socket vm) throws IOException;

	}

}
