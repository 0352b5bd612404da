package org.tallycart.integration;

import java.io.IOException;

import com.fasterxml.jackson.databind.JsonNode;
import org.tallycart.load.LoadTestReport;
import org.tallycart.testbed.Await;
import org.tallycart.testbed.FleetDefinition;
import org.tallycart.testbed.ProcessHttp;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * A graceful stop cuts off no request in flight, and hands slots over rather than losing
 * their claims.
 */
public class GracefulStopTests extends AbstractFleetTests {

	@Override
	FleetDefinition shape() {
		return FleetDefinition.bogota(3);
	}

	@Test
	void aRollingRestartOfEveryVmBreaksNoRequest() throws IOException {
		BackgroundLoad load = BackgroundLoad.start(fleet(), 40, 20_000, BackgroundLoad.questions(),
				BackgroundLoad.wholeQuestions(), BackgroundLoad.confirmations());
		Await.sleep(1_000);
		for (int i = 0; i < fleet().size(); i++) {
			fleet().vm(i).entry().requestStop();
			awaitUnready(i);
			fleet().vm(i).setInBalancer(false);
			assertTrue(fleet().vm(i).entry().awaitExit(), "the entry ends in time");
			assertTrue(fleet().vm(i).steward().stop(), "the steward ends in time");
			fleet().restartSteward(i);
			fleet().restartEntry(i);
		}
		LoadTestReport report = load.await();
		System.out.println("rolling restart: " + report.requestCount() + " requests, COMPLETE "
				+ report.countByOutcome("COMPLETE"));
		assertEquals(report.countByOutcome("COMPLETE"), report.requestCount(), report.toText());
		assertEquals(report.violationCount(), 0);
		assertEquals(takenOver(), 0, "slots are handed over, not taken over");
	}

	private void awaitUnready(int number) {
		Await.until("readiness falls first", 5_000,
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
