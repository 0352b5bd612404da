package org.tallycart.http.event;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Registry of the open connections of callers, for a graceful shutdown.
 * <p>
 * Not thread-safe: confined to one event loop.
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

	boolean isDraining() {
		return this.draining;
	}

	void beginDrain() {
		this.draining = true;
	}

	void closeIdle() {
		for (CallerConnection connection : new ArrayList<>(this.open)) {
			connection.closeWhenIdle();
		}
	}

	int openCount() {
		return this.open.size();
	}

	long busyCount() {
		return this.open.stream().filter(CallerConnection::isBusy).count();
	}

}
