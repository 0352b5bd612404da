package org.tallycart.node.store;

import java.util.Optional;

import org.jspecify.annotations.Nullable;
import org.tallycart.core.serving.ServingConfig;
import org.tallycart.node.log.NodeLog;
import org.tallycart.runtime.event.EventCode;

/**
 * The configuration by which requests are served.
 * <p>
 * Invariant: its version only rises. Not thread-safe: belongs to the event loop.
 *
 * @since 0.1
 */
public final class ActiveConfig {

	private final NodeLog log;

	private @Nullable ServingConfig current;

	/**
	 * Create a holder without a configuration.
	 * @param log where changes are written
	 */
	public ActiveConfig(NodeLog log) {
		this.log = log;
	}

	/**
	 * Offer a configuration.
	 * @param fresh the configuration
	 * @return whether it is in force now and was not before
	 */
	public boolean offer(ServingConfig fresh) {
		long version = (this.current != null) ? this.current.version() : Long.MIN_VALUE;
		if (fresh.version() < version) {
			this.log.event(EventCode.CONFIG_REJECTED, "version", fresh.version(), "reason", "older than " + version);
		}
		if (fresh.version() <= version) {
			return false;
		}
		this.current = fresh;
		this.log.event(EventCode.CONFIG_TAKEN, "version", fresh.version(), "services", fresh.services().size());
		return true;
	}

	/**
	 * Return the configuration.
	 * @return the configuration, once one is known
	 */
	public Optional<ServingConfig> current() {
		return Optional.ofNullable(this.current);
	}

}
