package org.tallycart.http;

import java.io.IOException;
import java.net.Socket;

/**
 * Connection accepted by a {@link BlockingHttpServer}.
 * <p>
 * Thread-safe.
 *
 * @since 0.1
 */
final class ServerConnection {

	/** Name of the attribute of the request context that holds the connection. */
	static final String ATTRIBUTE = "tallycart.connection";

	private final Socket socket;

	private volatile boolean served;

	private volatile boolean busy;

	ServerConnection(Socket socket) {
		this.socket = socket;
	}

	Socket socket() {
		return this.socket;
	}

	boolean hasServed() {
		return this.served;
	}

	void onRequest() {
		this.busy = true;
	}

	void onResponse() {
		this.served = true;
		this.busy = false;
	}

	/**
	 * Shut down the input if the connection waits for its next request and no byte of it
	 * has arrived. The output stays open, so that the response to a request that was read
	 * concurrently can still be written.
	 */
	void shutdownIfIdle() {
		try {
			if (this.served && !this.busy && !this.socket.isInputShutdown()
					&& this.socket.getInputStream().available() == 0) {
				this.socket.shutdownInput();
			}
		}
		catch (IOException ex) {
			close();
		}
	}

	void close() {
		try {
			this.socket.close();
		}
		catch (IOException ex) {
			// The socket is discarded even if the close failed.
		}
	}

}
