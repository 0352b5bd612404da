package org.tallycart.entry.stage;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.tallycart.core.declaration.Service;

/**
 * What the stage calls of one request have cost.
 * <p>
 * Thread-safe: attempts report from several threads.
 *
 * @since 0.1
 */
public final class CostMeter {

	private final List<AttemptCost> items = new ArrayList<>();

	/**
	 * Add the cost of an attempt that has ended.
	 * @param service the service
	 * @param use what the attempt was for
	 * @param tokens tokens it generated
	 */
	synchronized void add(Service service, Use use, int tokens) {
		this.items.add(new AttemptCost(service.id(), use, service.costPerCall() + service.costPerToken() * tokens));
	}

	/**
	 * Sum up the cost by service and use.
	 * @param complete whether the request ended whole; if not, nothing was of use
	 * @return the cost by {@code service.use}
	 */
	public synchronized Map<String, Double> totals(boolean complete) {
		Map<String, Double> totals = new TreeMap<>();
		for (AttemptCost item : this.items) {
			Use use = (complete || item.use != Use.USEFUL) ? item.use : Use.ABANDONED;
			totals.merge(item.service + "." + use.name().toLowerCase(java.util.Locale.ROOT), item.cost, Double::sum);
		}
		return totals;
	}

	/** What an attempt was for. */
	public enum Use {

		/** Its result is part of the answer. */
		USEFUL,
		/** It failed, and another was made in its place. */
		RETRIED,
		/** Another attempt at the same call was faster. */
		HEDGED,
		/** Its result went nowhere. */
		ABANDONED

	}

	private record AttemptCost(String service, Use use, double cost) {
	}

}
