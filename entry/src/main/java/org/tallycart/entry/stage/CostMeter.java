package org.tallycart.entry.stage;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.tallycart.core.declaration.Service;

/**
 * Sums up the cost of the stage calls of one request.
 * <p>
 * Thread-safe: attempts report from several threads.
 *
 * @since 0.1
 */
public final class CostMeter {

	private final List<AttemptCost> costs = new ArrayList<>();

	/**
	 * Add the cost of an attempt that has ended.
	 * @param service the service
	 * @param use the use of its result
	 * @param tokens number of tokens it generated
	 */
	synchronized void add(Service service, Use use, int tokens) {
		this.costs.add(new AttemptCost(service.id(), use, service.costPerCall() + service.costPerToken() * tokens));
	}

	/**
	 * Sum up the cost by service and use.
	 * @param complete whether the request is COMPLETE; if not, useful attempts count as
	 * abandoned
	 * @return the cost by {@code service.use}
	 */
	public synchronized Map<String, Double> totals(boolean complete) {
		Map<String, Double> totals = new TreeMap<>();
		for (AttemptCost attempt : this.costs) {
			Use use = (complete || attempt.use != Use.USEFUL) ? attempt.use : Use.ABANDONED;
			totals.merge(attempt.service + "." + use.name().toLowerCase(java.util.Locale.ROOT), attempt.cost,
					Double::sum);
		}
		return totals;
	}

	/** Use of the result of an attempt. */
	public enum Use {

		/** The result contributed to the response. */
		USEFUL,
		/** The attempt failed and was retried. */
		RETRIED,
		/** Another attempt at the same call was faster. */
		HEDGED,
		/** The result was not used. */
		ABANDONED

	}

	private record AttemptCost(String service, Use use, double cost) {
	}

}
