package org.tallycart.testbed;

import java.io.IOException;
import java.util.List;

import org.tallycart.load.Scenario;

/**
 * One situation of an experiment: a load, and what goes wrong during it.
 *
 * @param name its name in the table
 * @param loadPercent load in percent of the fleet's capacity
 * @param burstFactor by how much the load rises for a part of the time; 1 for not at all
 * @param kinds the kinds of request
 * @param begin brings the fault about
 * @param end mends it
 * @since 0.1
 */
record ExperimentCase(String name, int loadPercent, double burstFactor, List<Scenario.RequestKind> kinds,
		FleetAction begin, FleetAction end) {

	static final FleetAction NOTHING = (fleet) -> {
	};

	static ExperimentCase steady(String name, int loadPercent, List<Scenario.RequestKind> kinds) {
		return new ExperimentCase(name, loadPercent, 1, kinds, NOTHING, NOTHING);
	}

	static ExperimentCase fault(String name, List<Scenario.RequestKind> kinds, String prefix, String fault,
			String mended) {
		return new ExperimentCase(name, 60, 1, kinds,
				(fleet) -> fleet.setUpstreamFault((id) -> id.startsWith(prefix), fault),
				(fleet) -> fleet.setUpstreamFault((id) -> id.startsWith(prefix), mended));
	}

	/** Does something to a fleet. */
	@FunctionalInterface
	interface FleetAction {

		void on(LocalFleet fleet) throws IOException;

	}

}
