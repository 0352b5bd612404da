package org.tallycart.testbed;

import java.io.IOException;
import java.util.List;

import org.tallycart.load.Scenario;

/**
 * Case of an experiment: a load and the fault injected during it.
 *
 * @param name the name in the results
 * @param loadPercent load in percent of the fleet's capacity
 * @param burstFactor factor on the load during the burst; 1 for no burst
 * @param kinds the kinds of request
 * @param injectFault action before the load
 * @param clearFault action after the load
 * @since 0.1
 */
record ExperimentCase(String name, int loadPercent, double burstFactor, List<Scenario.RequestKind> kinds,
		FleetAction injectFault, FleetAction clearFault) {

	static final FleetAction NO_ACTION = (fleet) -> {
	};

	static ExperimentCase steady(String name, int loadPercent, List<Scenario.RequestKind> kinds) {
		return new ExperimentCase(name, loadPercent, 1, kinds, NO_ACTION, NO_ACTION);
	}

	static ExperimentCase fault(String name, List<Scenario.RequestKind> kinds, String upstreamPrefix, String fault,
			String cleared) {
		return new ExperimentCase(name, 60, 1, kinds,
				(fleet) -> fleet.setUpstreamFault((id) -> id.startsWith(upstreamPrefix), fault),
				(fleet) -> fleet.setUpstreamFault((id) -> id.startsWith(upstreamPrefix), cleared));
	}

	/** Action on a fleet, such as setting a fault. */
	@FunctionalInterface
	interface FleetAction {

		void applyTo(LocalFleet fleet) throws IOException;

	}

}
