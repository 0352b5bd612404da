package org.tallycart.http;

import java.io.IOException;
import java.net.Socket;

/**
 * A connection that a listener has accepted.
 * <p>
 * Thread-safe.
 *
 * @since 0.1
 */
final class ServerConnection {

	/** Name under which a request's context holds its connection. */
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

	boolean served() {
		return this.served;
	}

	void onRequest() {
		this.busy = true;
	}

	void onAnswered() {
		this.served = true;
		this.busy = false;
	}

	/**
	 * End the connection if its thread waits for a next request of which no byte has
	 * come. Only the input is shut, so that an answer to a request that has just been
	 * read can still be written.
	 */
	void endIfIdle() {
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
			// The socket is of no further use whether or not it closed well.
		}
	}

}
