package org.tallycart.http.event;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.function.LongSupplier;

import org.jspecify.annotations.Nullable;

/**
 * Kept connections to one upstream.
 * <p>
 * Not thread-safe: belongs to one event loop.
 */
final class ConnectionPool {

	/**
	 * How long a connection is reused whose peer announces no timeout: the field counts
	 * whole seconds, so a shorter timeout cannot be announced.
	 */
	static final long UNANNOUNCED_IDLE_MS = 500;

	/** Share of an announced timeout after which a connection is not used any more. */
	private static final double USED_SHARE = 0.6;

	private static final long SECOND_MS = 1_000;

	/** More idle connections than this say that the load has gone. */
	private static final int MAX_IDLE = 64;

	private final LongSupplier nowMs;

	private final Deque<UpstreamConnection> idle = new ArrayDeque<>();

	ConnectionPool(LongSupplier nowMs) {
		this.nowMs = nowMs;
	}

	static long idleLimitMs(String keepAlive) {
		for (String parameter : keepAlive.split(",")) {
			String[] pair = parameter.trim().split("=", 2);
			if (pair.length == 2 && "timeout".equalsIgnoreCase(pair[0].trim())) {
				return seconds(pair[1].trim());
			}
		}
		return UNANNOUNCED_IDLE_MS;
	}

	private static long seconds(String text) {
		try {
			return (long) (Long.parseLong(text) * SECOND_MS * USED_SHARE);
		}
		catch (NumberFormatException ex) {
			// An unreadable announcement is the same as none.
			return UNANNOUNCED_IDLE_MS;
		}
	}

	// The connection used last is the least likely to be stale.
	@Nullable UpstreamConnection take() {
		long now = this.nowMs.getAsLong();
		while (true) {
			UpstreamConnection connection = this.idle.pollLast();
			if (connection == null || connection.usable(now)) {
				return connection;
			}
			connection.discard();
		}
	}

	void release(UpstreamConnection connection) {
		connection.idleSince(this.nowMs.getAsLong());
		this.idle.addLast(connection);
		if (this.idle.size() > MAX_IDLE) {
			this.idle.pollFirst().discard();
		}
	}

	void forget(UpstreamConnection connection) {
		this.idle.remove(connection);
	}

	/** Closes connections that would not be used again. */
	void closeStale() {
		long now = this.nowMs.getAsLong();
		for (UpstreamConnection connection : new ArrayList<>(this.idle)) {
			if (!connection.usable(now)) {
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
