package org.tallycart.node;

import java.util.List;
import java.util.Set;

import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.tallycart.core.attempt.HedgeLimits;
import picocli.CommandLine.Option;

/**
 * The options that limit hedges.
 * <p>
 * Thread-safe: used by the main thread only.
 */
final class HedgeOptions {

	private static final double MAX_SHARE = 0.2;

	private static final int MAX_BURST = 100;

	private static final int DEFAULT_BURST = 5;

	@Option(names = "--hedge-share", description = "Hedges as a share of a service's first attempts, over all VMs, "
			+ "from 0 to 0.2; ${DEFAULT-VALUE} (off) if not given.")
	private double share;

	@Option(names = "--hedge-burst", description = "Hedges in addition within the window of retries, over all VMs, "
			+ "from 0 to 100; ${DEFAULT-VALUE} if not given.")
	private int burst = DEFAULT_BURST;

	@Option(names = "--hedge-routes", split = ",",
			description = "Names of the routes that may be hedged, separated by commas; all if not given.")
	private @Nullable List<String> routes;

	/**
	 * Return the limits that the options set.
	 * @return the limits, or a message that names the option whose value is wrong
	 */
	Either<String, HedgeLimits> limits() {
		if (!(this.share >= 0 && this.share <= MAX_SHARE)) {
			return Either.left("--hedge-share has to be from 0 to " + MAX_SHARE + ", not " + this.share);
		}
		if (this.burst < 0 || this.burst > MAX_BURST) {
			return Either.left("--hedge-burst has to be from 0 to " + MAX_BURST + ", not " + this.burst);
		}
		List<String> names = (this.routes != null) ? this.routes.stream().map(String::strip).toList() : List.of();
		if (names.stream().anyMatch(String::isEmpty)) {
			return Either.left("--hedge-routes has to be names separated by commas");
		}
		return Either.right(new HedgeLimits(this.share, this.burst, Set.copyOf(names)));
	}

}
