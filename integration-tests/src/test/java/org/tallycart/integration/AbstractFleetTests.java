package org.tallycart.integration;

import java.io.IOException;

import org.tallycart.testbed.FleetDefinition;
import org.tallycart.testbed.LocalFleet;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;

/**
 * Base of tests that share one fleet of real processes.
 */
abstract class AbstractFleetTests {

	private LocalFleet fleet;

	/**
	 * Return the shape of the fleet that the tests need.
	 * @return the shape
	 */
	abstract FleetDefinition shape();

	LocalFleet fleet() {
		return this.fleet;
	}

	@BeforeClass
	void start() throws IOException {
		this.fleet = LocalFleet.start(shape());
	}

	@AfterClass(alwaysRun = true)
	void stop() {
		if (this.fleet != null) {
			this.fleet.close();
		}
	}

}
