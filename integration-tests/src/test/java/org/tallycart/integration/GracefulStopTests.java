package org.tallycart.integration;

import java.io.IOException;

import com.fasterxml.jackson.databind.JsonNode;
import org.tallycart.load.LoadReport;
import org.tallycart.testbed.FleetShape;
import org.tallycart.testbed.LocalFleet;
import org.tallycart.testbed.Waiting;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * A graceful stop cuts off no request in flight, and hands slots over rather than losing
 * their claims.
 */
public class GracefulStopTests {

	private LocalFleet fleet;

	@BeforeClass
	void start() throws IOException {
		this.fleet = LocalFleet.start(FleetShape.bogota(3));
	}

	@AfterClass(alwaysRun = true)
	void stop() {
		if (this.fleet != null) {
			this.fleet.close();
		}
	}

	@Test
	void aRollingRestartOfEveryVmBreaksNoRequest() throws IOException {
		LoadBehind load = LoadBehind.start(this.fleet, 40, 20_000, LoadBehind.questions(), LoadBehind.wholeQuestions(),
				LoadBehind.confirmations());
		Waiting.pause(1_000);
		for (int i = 0; i < this.fleet.size(); i++) {
			this.fleet.vm(i).entry().requestStop();
			awaitUnready(i);
			this.fleet.vm(i).balancer(false);
			assertTrue(this.fleet.vm(i).entry().awaitEnd(), "the entry ends in time");
			assertTrue(this.fleet.vm(i).steward().stop(), "the steward ends in time");
			this.fleet.restartSteward(i);
			this.fleet.restartEntry(i);
		}
		LoadReport report = load.await();
		System.out.println("rolling restart: " + report.total() + " requests, COMPLETE " + report.count("COMPLETE"));
		assertEquals(report.count("COMPLETE"), report.total(), report.text());
		assertEquals(report.violationCount(), 0);
		assertEquals(takenOver(), 0, "slots are handed over, not taken over");
	}

	private void awaitUnready(int number) {
		Waiting.until("readiness falls first", 5_000,
				() -> !LocalFleet.get(this.fleet.vm(number).entry().address("status"), "/readyz")
					.path("ready")
					.asBoolean());
	}

	private long takenOver() {
		long count = 0;
		for (int i = 0; i < this.fleet.size(); i++) {
			// Restarted stewards only know what came after their start: nothing may be
			// taken over there.
			for (JsonNode event : LocalFleet.get(this.fleet.vm(i).steward().address("status"), "/events")) {
				count += event.path("name").asText().equals("SLOTS_TAKEN_OVER") ? 1 : 0;
			}
		}
		return count;
	}

}
