package org.tallycart.integration;

import java.io.IOException;

import org.tallycart.testbed.FleetDefinition;
import org.tallycart.testbed.LocalFleet;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;

/**
 * Base class of tests that share one local fleet of processes.
 */
abstract class AbstractFleetTests {

	private LocalFleet fleet;

	/**
	 * Return the definition of the fleet.
	 * @return the definition
	 */
	abstract FleetDefinition definition();

	LocalFleet fleet() {
		return this.fleet;
	}

	@BeforeClass
	void start() throws IOException {
		this.fleet = LocalFleet.start(definition());
	}

	@AfterClass(alwaysRun = true)
	void stop() {
		if (this.fleet != null) {
			this.fleet.close();
		}
	}

}
