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
 * Tests that a graceful stop interrupts no request in flight and hands over slots
 * together with their claims.
 */
public class GracefulStopTests extends AbstractFleetTests {

	@Override
	FleetDefinition definition() {
		return FleetDefinition.bogota(3);
	}

	@Test
	void rollingRestartInterruptsNoRequest() throws IOException {
		BackgroundLoad load = BackgroundLoad.start(fleet(), 40, 20_000, BackgroundLoad.questions(),
				BackgroundLoad.unaryQuestions(), BackgroundLoad.confirmations());
		Await.sleep(1_000);
		for (int i = 0; i < fleet().size(); i++) {
			fleet().vm(i).entry().requestStop();
			awaitNotReady(i);
			fleet().vm(i).setInBalancer(false);
			assertTrue(fleet().vm(i).entry().awaitExit(), "the entry did not exit in time");
			assertTrue(fleet().vm(i).steward().stop(), "the steward did not exit in time");
			fleet().restartSteward(i);
			fleet().restartEntry(i);
		}
		LoadTestReport report = load.await();
		System.out.println("rolling restart: " + report.requestCount() + " requests, COMPLETE "
				+ report.countByOutcome("COMPLETE"));
		assertEquals(report.countByOutcome("COMPLETE"), report.requestCount(), report.toText());
		assertEquals(report.violationCount(), 0);
		assertEquals(countTakeovers(), 0, "slots were taken over instead of handed over");
	}

	private void awaitNotReady(int number) {
		Await.until("the entry is not ready", 5_000,
				() -> !ProcessHttp.get(fleet().vm(number).entry().address("status"), "/readyz")
					.path("ready")
					.asBoolean());
	}

	private long countTakeovers() {
		long count = 0;
		for (int i = 0; i < fleet().size(); i++) {
			// Covers only events since the restart of each steward.
			for (JsonNode event : ProcessHttp.get(fleet().vm(i).steward().address("status"), "/events")) {
				count += event.path("name").asText().equals("SLOTS_TAKEN_OVER") ? 1 : 0;
			}
		}
		return count;
	}

}
