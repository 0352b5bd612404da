package org.tallycart.core.stream;

import java.util.Optional;
import java.util.function.Consumer;

/**
 * Tells whether only one software version of a service has served for as long as a stream
 * may last, so that the origin of any stream is known without a record of it.
 *
 * @since 0.1
 */
public interface ServedVersions {

	/**
	 * Return the only version, as far as this VM has seen the list of upstreams itself.
	 * @param service the service
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return the version; empty if there were several, or this VM may have missed some
	 */
	Optional<String> onlyVersion(String service, long nowMs);

	/**
	 * Find the only version, also for a VM that has not seen the list of upstreams for
	 * long enough.
	 * @param service the service
	 * @param confirm whether the platform's store has to confirm it, since this VM may be
	 * cut off without having noticed
	 * @param nowMs the current monotonic time, in milliseconds
	 * @param consumer receives the version, at once or later; empty if there were several
	 * or it is unknown
	 */
	void findOnlyVersion(String service, boolean confirm, long nowMs, Consumer<Optional<String>> consumer);

}
