package org.tallycart.integration;

import org.tallycart.core.membership.VmState;
import org.tallycart.load.LoadTestReport;
import org.tallycart.testbed.Await;
import org.tallycart.testbed.FleetDefinition;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/**
 * An upstream that is leaving receives no new work after a few seconds, by whichever path
 * the news comes.
 */
public class LeavingUpstreamTests extends AbstractFleetTests {

	private static final long A_FEW_SECONDS_MS = 5_000;

	@Override
	FleetDefinition shape() {
		return FleetDefinition.bogota(3);
	}

	@DataProvider
	Object[][] paths() {
		return new Object[][] { { "generate-1", "list" }, { "generate-2", "answer" },
				{ "generate-3", "lagging list" } };
	}

	@Test(dataProvider = "paths")
	void noNewWorkArrivesAfterAFewSeconds(String upstream, String path) {
		BackgroundLoad load = BackgroundLoad.start(fleet(), 40, 8_000, BackgroundLoad.questions());
		Await.sleep(1_000);
		long leftMs = System.currentTimeMillis();
		if (path.equals("answer")) {
			fleet().setUpstreamFault(upstream::equals, "{\"leaving\":true}");
		}
		else {
			String lag = path.equals("list") ? "0" : "1500";
			fleet().setPlatformFault("{\"vm_list_lag_ms\":{\"vm-1\":" + lag + ",\"vm-2\":" + lag + "}}");
			fleet().setUpstreamState(upstream, VmState.LEAVING);
		}
		LoadTestReport report = load.await();
		long lastMs = fleet().runCounts(upstream).path("last_new_work_ms").asLong() - leftMs;
		System.out.println("leaving by " + path + ": last new work " + lastMs + " ms after the leave began");
		assertTrue(lastMs < A_FEW_SECONDS_MS, "last new work after " + lastMs + " ms");
		assertTrue(report.countByOutcome("COMPLETE") == report.requestCount(), report.toText());
	}

}
