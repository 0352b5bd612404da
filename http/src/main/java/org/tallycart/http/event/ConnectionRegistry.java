package org.tallycart.http.event;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The open connections of callers, for a graceful stop.
 * <p>
 * Not thread-safe: belongs to one event loop.
 */
final class ConnectionRegistry {

	private final Set<CallerConnection> open = new LinkedHashSet<>();

	private boolean draining;

	void add(CallerConnection connection) {
		this.open.add(connection);
	}

	void remove(CallerConnection connection) {
		this.open.remove(connection);
	}

	boolean draining() {
		return this.draining;
	}

	void drain() {
		this.draining = true;
	}

	void closeIdle() {
		for (CallerConnection connection : new ArrayList<>(this.open)) {
			connection.closeWhenIdle();
		}
	}

	long busy() {
		return this.open.stream().filter(CallerConnection::busy).count();
	}

}
