package org.tallycart.http.event;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.function.LongSupplier;

import org.jspecify.annotations.Nullable;

/**
 * Pool of idle connections to one upstream.
 * <p>
 * Not thread-safe: confined to one event loop.
 */
final class ConnectionPool {

	/**
	 * Maximum idle time of a connection whose peer sends no {@code Keep-Alive} timeout.
	 * The field counts whole seconds, so it cannot state a shorter timeout.
	 */
	static final long DEFAULT_IDLE_LIMIT_MS = 500;

	/** Fraction of the {@code Keep-Alive} timeout for which a connection is reused. */
	private static final double KEEP_ALIVE_FRACTION = 0.6;

	private static final long SECOND_MS = 1_000;

	/** Maximum number of idle connections; above it the oldest is closed. */
	static final int MAX_IDLE = 64;

	private final LongSupplier nowMs;

	private final Deque<UpstreamConnection> idle = new ArrayDeque<>();

	ConnectionPool(LongSupplier nowMs) {
		this.nowMs = nowMs;
	}

	static long idleLimitMs(String keepAlive) {
		for (String parameter : keepAlive.split(",")) {
			String[] pair = parameter.trim().split("=", 2);
			if (pair.length == 2 && "timeout".equalsIgnoreCase(pair[0].trim())) {
				return parseIdleLimitMs(pair[1].trim());
			}
		}
		return DEFAULT_IDLE_LIMIT_MS;
	}

	private static long parseIdleLimitMs(String text) {
		try {
			return (long) (Long.parseLong(text) * SECOND_MS * KEEP_ALIVE_FRACTION);
		}
		catch (NumberFormatException ex) {
			// An invalid timeout counts as none.
			return DEFAULT_IDLE_LIMIT_MS;
		}
	}

	// Most recently used first: that connection is the least likely to be stale.
	@Nullable UpstreamConnection take() {
		long now = this.nowMs.getAsLong();
		while (true) {
			UpstreamConnection connection = this.idle.pollLast();
			if (connection == null || connection.isUsable(now)) {
				return connection;
			}
			connection.discard();
		}
	}

	void release(UpstreamConnection connection) {
		connection.markIdle(this.nowMs.getAsLong());
		this.idle.addLast(connection);
		if (this.idle.size() > MAX_IDLE) {
			this.idle.pollFirst().discard();
		}
	}

	void remove(UpstreamConnection connection) {
		this.idle.remove(connection);
	}

	/** Closes the idle connections that have passed their idle limit. */
	void closeStale() {
		long now = this.nowMs.getAsLong();
		for (UpstreamConnection connection : new ArrayList<>(this.idle)) {
			if (!connection.isUsable(now)) {
				this.idle.remove(connection);
				connection.discard();
			}
		}
	}

	void closeAll() {
		for (UpstreamConnection connection : new ArrayList<>(this.idle)) {
			connection.discard();
		}
		this.idle.clear();
	}

}
