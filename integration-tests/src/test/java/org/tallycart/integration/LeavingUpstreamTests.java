package org.tallycart.integration;

import org.tallycart.core.membership.VmState;
import org.tallycart.load.LoadTestReport;
import org.tallycart.testbed.Await;
import org.tallycart.testbed.FleetDefinition;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/**
 * Tests that a draining upstream receives no new work after a few seconds, whether the
 * state is published in the VM list or in replies of the upstream.
 */
public class LeavingUpstreamTests extends AbstractFleetTests {

	private static final long DRAIN_TIMEOUT_MS = 5_000;

	@Override
	FleetDefinition definition() {
		return FleetDefinition.bogota(3);
	}

	@DataProvider
	Object[][] sources() {
		return new Object[][] { { "generate-1", "list" }, { "generate-2", "answer" },
				{ "generate-3", "lagging list" } };
	}

	@Test(dataProvider = "sources")
	void drainingUpstreamReceivesNoNewWork(String upstream, String source) {
		BackgroundLoad load = BackgroundLoad.start(fleet(), 40, 8_000, BackgroundLoad.questions());
		Await.sleep(1_000);
		assertTrue(fleet().runCounts(upstream).path("runs").asInt() > 0, "the upstream works before it drains");
		long drainStartMs = System.currentTimeMillis();
		if (source.equals("answer")) {
			fleet().setUpstreamFault(upstream::equals, "{\"leaving\":true}");
		}
		else {
			String lag = source.equals("list") ? "0" : "1500";
			fleet().setPlatformFault("{\"vm_list_lag_ms\":{\"vm-1\":" + lag + ",\"vm-2\":" + lag + "}}");
			fleet().setUpstreamState(upstream, VmState.LEAVING);
		}
		LoadTestReport report = load.await();
		long lastMs = fleet().runCounts(upstream).path("last_new_work_ms").asLong() - drainStartMs;
		System.out.println("draining by " + source + ": last new work " + lastMs + " ms after draining began");
		assertTrue(lastMs < DRAIN_TIMEOUT_MS, "last new work after " + lastMs + " ms");
		assertTrue(report.countByOutcome("COMPLETE") == report.requestCount(), report.toText());
	}

}
