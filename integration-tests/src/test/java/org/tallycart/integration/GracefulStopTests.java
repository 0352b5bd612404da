package org.tallycart.integration;

import java.io.IOException;

import com.fasterxml.jackson.databind.JsonNode;
import org.tallycart.load.LoadReport;
import org.tallycart.testbed.FleetShape;
import org.tallycart.testbed.ProcessHttp;
import org.tallycart.testbed.Waiting;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * A graceful stop cuts off no request in flight, and hands slots over rather than losing
 * their claims.
 */
public class GracefulStopTests extends AbstractFleetTests {

	@Override
	FleetShape shape() {
		return FleetShape.bogota(3);
	}

	@Test
	void aRollingRestartOfEveryVmBreaksNoRequest() throws IOException {
		LoadBehind load = LoadBehind.start(fleet(), 40, 20_000, LoadBehind.questions(), LoadBehind.wholeQuestions(),
				LoadBehind.confirmations());
		Waiting.pause(1_000);
		for (int i = 0; i < fleet().size(); i++) {
			fleet().vm(i).entry().requestStop();
			awaitUnready(i);
			fleet().vm(i).balancer(false);
			assertTrue(fleet().vm(i).entry().awaitEnd(), "the entry ends in time");
			assertTrue(fleet().vm(i).steward().stop(), "the steward ends in time");
			fleet().restartSteward(i);
			fleet().restartEntry(i);
		}
		LoadReport report = load.await();
		System.out.println("rolling restart: " + report.total() + " requests, COMPLETE " + report.count("COMPLETE"));
		assertEquals(report.count("COMPLETE"), report.total(), report.text());
		assertEquals(report.violationCount(), 0);
		assertEquals(takenOver(), 0, "slots are handed over, not taken over");
	}

	private void awaitUnready(int number) {
		Waiting.until("readiness falls first", 5_000,
				() -> !ProcessHttp.get(fleet().vm(number).entry().address("status"), "/readyz")
					.path("ready")
					.asBoolean());
	}

	private long takenOver() {
		long count = 0;
		for (int i = 0; i < fleet().size(); i++) {
			// Restarted stewards only know what came after their start: nothing may be
			// taken over there.
			for (JsonNode event : ProcessHttp.get(fleet().vm(i).steward().address("status"), "/events")) {
				count += event.path("name").asText().equals("SLOTS_TAKEN_OVER") ? 1 : 0;
			}
		}
		return count;
	}

}
