package org.tallycart.node.store;

import java.util.Optional;

import org.jspecify.annotations.Nullable;
import org.tallycart.core.serving.ServingConfig;
import org.tallycart.node.log.NodeLog;
import org.tallycart.runtime.event.EventCode;

/**
 * The active configuration, by which requests are served.
 * <p>
 * Invariant: its version only increases. Not thread-safe: confined to the event loop.
 *
 * @since 0.1
 */
public final class ActiveConfig {

	private final NodeLog log;

	private @Nullable ServingConfig current;

	/**
	 * Create an instance without a configuration.
	 * @param log the log for changes
	 */
	public ActiveConfig(NodeLog log) {
		this.log = log;
	}

	/**
	 * Activate a configuration if its version is higher than that of the active one.
	 * @param candidate the configuration
	 * @return true if it has been activated
	 */
	public boolean offer(ServingConfig candidate) {
		long version = (this.current != null) ? this.current.version() : Long.MIN_VALUE;
		if (candidate.version() < version) {
			this.log.event(EventCode.CONFIG_REJECTED, "version", candidate.version(), "reason",
					"older than " + version);
		}
		if (candidate.version() <= version) {
			return false;
		}
		this.current = candidate;
		this.log.event(EventCode.CONFIG_TAKEN, "version", candidate.version(), "services", candidate.services().size());
		return true;
	}

	/**
	 * Return the active configuration.
	 * @return the configuration; empty until the first one is activated
	 */
	public Optional<ServingConfig> current() {
		return Optional.ofNullable(this.current);
	}

}
