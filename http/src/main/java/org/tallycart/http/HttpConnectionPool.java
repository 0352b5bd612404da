package org.tallycart.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.tallycart.core.ini.Address;

/**
 * Pool of idle client connections, for calls that may be retried.
 * <p>
 * A call that may not be retried needs a new connection: on an idle one the peer may
 * close while the call is sent, and it is unknown whether the call was processed.
 * Thread-safe.
 *
 * @since 0.1
 */
public final class HttpConnectionPool implements AutoCloseable {

	private final int maxIdlePerAddress;

	private final Map<Address, Deque<HttpConnection>> idle = new HashMap<>();

	private HttpConnectionPool(int maxIdlePerAddress) {
		this.maxIdlePerAddress = maxIdlePerAddress;
	}

	/**
	 * Create a pool.
	 * @param maxIdlePerAddress the maximum number of idle connections per address
	 * @return the pool
	 */
	public static HttpConnectionPool create(int maxIdlePerAddress) {
		return new HttpConnectionPool(maxIdlePerAddress);
	}

	/**
	 * Return an idle connection, or open a new one.
	 * @param address the address of the peer
	 * @param timeoutMs the connect timeout, in milliseconds
	 * @return the connection, or a failure with {@code sent} false
	 */
	public Either<HttpFailure, HttpConnection> lease(Address address, long timeoutMs) {
		HttpConnection connection = pop(address);
		while (connection != null) {
			if (connection.isReusable()) {
				return Either.right(connection);
			}
			connection.abort();
			connection = pop(address);
		}
		return HttpConnection.connect(address, timeoutMs);
	}

	private synchronized @Nullable HttpConnection pop(Address address) {
		Deque<HttpConnection> queue = this.idle.get(address);
		return (queue != null) ? queue.pollFirst() : null;
	}

	/**
	 * Return a connection to the pool after a call, or close it if it is not reusable.
	 * @param connection the connection
	 */
	public void release(HttpConnection connection) {
		boolean pooled = connection.isReusable() && push(connection);
		if (!pooled) {
			connection.abort();
		}
	}

	private synchronized boolean push(HttpConnection connection) {
		Deque<HttpConnection> queue = this.idle.computeIfAbsent(connection.address(), (key) -> new ArrayDeque<>());
		if (queue.size() >= this.maxIdlePerAddress) {
			return false;
		}
		queue.addFirst(connection);
		return true;
	}

	/**
	 * Make one call on a pooled connection.
	 * @param address the address of the peer
	 * @param call the call
	 * @param timeoutMs the connect timeout and the read timeout, in milliseconds
	 * @return the reply, or a failure
	 */
	public Either<HttpFailure, HttpReply> call(Address address, HttpCall call, long timeoutMs) {
		return lease(address, timeoutMs).flatMap((connection) -> {
			Either<HttpFailure, HttpReply> reply = connection.call(call, timeoutMs);
			release(connection);
			return reply;
		});
	}

	@Override
	public synchronized void close() {
		this.idle.values().forEach((queue) -> queue.forEach(HttpConnection::abort));
		this.idle.clear();
	}

}
