package org.tallycart.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.tallycart.core.ini.Address;

/**
 * Idle connections, kept for calls that may be repeated.
 * <p>
 * A call that may not be repeated takes a fresh connection: on an idle one it could be
 * lost to a close that crossed it on the way, with no way to tell. Thread-safe.
 *
 * @since 0.1
 */
public final class HttpConnectionPool implements AutoCloseable {

	private final int idlePerAddress;

	private final Map<Address, Deque<HttpConnection>> idle = new HashMap<>();

	private HttpConnectionPool(int idlePerAddress) {
		this.idlePerAddress = idlePerAddress;
	}

	/**
	 * Create a pool.
	 * @param idlePerAddress idle connections kept for one address, at most
	 * @return the pool
	 */
	public static HttpConnectionPool create(int idlePerAddress) {
		return new HttpConnectionPool(idlePerAddress);
	}

	/**
	 * Take an idle connection, or make one.
	 * @param address where to
	 * @param timeoutMs how long to try
	 * @return the connection, or a failure that has not begun
	 */
	public Either<HttpFailure, HttpConnection> lease(Address address, long timeoutMs) {
		HttpConnection found = pop(address);
		while (found != null) {
			if (found.isReusable()) {
				return Either.right(found);
			}
			found.abort();
			found = pop(address);
		}
		return HttpConnection.connect(address, timeoutMs);
	}

	private synchronized @Nullable HttpConnection pop(Address address) {
		Deque<HttpConnection> queue = this.idle.get(address);
		return (queue != null) ? queue.pollFirst() : null;
	}

	/**
	 * Give a connection back after a call whose answer was read to its end.
	 * @param connection the connection
	 */
	public void release(HttpConnection connection) {
		boolean kept = connection.isReusable() && push(connection);
		if (!kept) {
			connection.abort();
		}
	}

	private synchronized boolean push(HttpConnection connection) {
		Deque<HttpConnection> queue = this.idle.computeIfAbsent(connection.address(), (key) -> new ArrayDeque<>());
		if (queue.size() >= this.idlePerAddress) {
			return false;
		}
		queue.addFirst(connection);
		return true;
	}

	/**
	 * Make one call on a pooled connection.
	 * @param address where to
	 * @param call the call
	 * @param timeoutMs how long to wait for the connection, and again for bytes
	 * @return the answer, or a failure
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
