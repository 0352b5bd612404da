package org.tallycart.integration;

import java.io.IOException;
import java.util.List;
import java.util.Map;

import org.tallycart.load.LoadTestReport;
import org.tallycart.testbed.Await;
import org.tallycart.testbed.FleetDefinition;
import org.tallycart.testbed.ServiceDefinition;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests that a non-idempotent request runs at most once, and not at all if its outcome is
 * NOT_RUN, while callers resubmit it through other VMs and processes fail.
 */
public class AtMostOnceTests extends AbstractFleetTests {

	private static final String OUTAGE = "{\"outage\":true}";

	private static final String BROKEN_REPLIES = "{\"unframed_percent\":100,\"broken_percent\":30}";

	private static final String WHOLE_REPLIES = "{\"unframed_percent\":0,\"broken_percent\":0}";

	private static final String NO_OUTAGE = "{\"outage\":false}";

	@Override
	FleetDefinition definition() {
		// The long service time ensures that confirmations are in flight during each
		// fault.
		ServiceDefinition dispatch = new ServiceDefinition("dispatch", "plain", 4, 8, 400, 0, 1, 0);
		List<ServiceDefinition> services = FleetDefinition.bogota(4)
			.services()
			.stream()
			.map((service) -> service.id().equals("dispatch") ? dispatch : service)
			.toList();
		return FleetDefinition.bogota(4).withServices(services).withUpstreamProxies();
	}

	@DataProvider
	Object[][] faults() {
		return new Object[][] { { new NamedFault("kill an entry", this::killEntry), 0.9 },
				{ new NamedFault("kill a steward", this::killSteward), 0.85 },
				{ new NamedFault("freeze an entry and wake it", this::freezeEntry), 0.9 },
				{ new NamedFault("freeze a steward and wake it", this::freezeSteward), 0.85 },
				{ new NamedFault("outage throughout, and a steward killed", this::outageAndKill), 0.6 },
				{ new NamedFault("drain a VM, and kill it in mid-handover", this::killDuringHandover), 0.85 },
				{ new NamedFault("freeze during a drain", this::freezeDuringDrain), 0.8 },
				{ new NamedFault("cut upstream connections", this::cutUpstreams), 0.8 },
				{ new NamedFault("replace a VM, with lists that differ", this::replaceVm), 0.85 } };
	}

	@Test(dataProvider = "faults")
	void requestsRunAtMostOnceAndNotRunIsAccurate(NamedFault fault, double minCompleteRatio) throws IOException {
		BackgroundLoad load = BackgroundLoad.start(fleet(), 40, 5_000, BackgroundLoad.confirmations());
		Await.sleep(1_000);
		fault.action.run();
		LoadTestReport report = load.await();
		Map<String, Integer> runs = fleet().runsByMarker();
		for (Map.Entry<String, String> outcome : report.lastOutcomes().entrySet()) {
			int runCount = runs.getOrDefault(outcome.getKey(), 0);
			assertTrue(runCount <= 1, outcome.getKey() + " ran " + runCount + " times");
			assertTrue(!outcome.getValue().equals("NOT_RUN") || runCount == 0,
					outcome.getKey() + " was told NOT_RUN and ran");
			assertTrue(!outcome.getValue().equals("COMPLETE") || runCount == 1,
					outcome.getKey() + " was told COMPLETE and ran " + runCount + " times");
		}
		assertTrue(report.violationCount() == 0, report.toText());
		double completeRatio = (double) report.countByOutcome("COMPLETE") / report.requestCount();
		System.out.println("at most once, " + fault + ": " + report.requestCount() + " confirmations, " + completeRatio
				+ " answered COMPLETE, UNKNOWN " + report.countByOutcome("UNKNOWN") + ", NOT_RUN "
				+ report.countByOutcome("NOT_RUN") + ", FAILED " + report.countByOutcome("FAILED") + ", NONE "
				+ report.countByOutcome("NONE"));
		assertTrue(completeRatio >= minCompleteRatio, "too few requests completed: " + report.toText());
	}

	// Guards against a request that ran and is told FAILED because its reply was broken
	// off.
	@Test
	void aRequestWhoseReplyWasBrokenOffIsToldUnknown() {
		fleet().setUpstreamFault((id) -> id.startsWith("dispatch"), BROKEN_REPLIES);
		LoadTestReport report = BackgroundLoad.start(fleet(), 20, 3_000, BackgroundLoad.confirmations()).await();
		fleet().setUpstreamFault((id) -> id.startsWith("dispatch"), WHOLE_REPLIES);
		assertEquals(report.countByOutcome("FAILED"), 0, report.toText());
		assertTrue(report.countByOutcome("UNKNOWN") > 0, report.toText());
		assertEquals(report.violationCount(), 0, report.toText());
		fleet().runsByMarker().forEach((marker, count) -> assertTrue(count <= 1, marker + " ran " + count + " times"));
	}

	private void killEntry() throws IOException {
		fleet().vm(0).entry().kill();
		Await.sleep(300);
		fleet().vm(0).setInBalancer(false);
		fleet().restartEntry(0);
	}

	private void killSteward() throws IOException {
		fleet().vm(1).steward().kill();
		Await.sleep(500);
		fleet().restartSteward(1);
	}

	private void freezeEntry() {
		fleet().vm(0).entry().suspend();
		Await.sleep(300);
		fleet().vm(0).setInBalancer(false);
		Await.sleep(2_500);
		fleet().vm(0).entry().resume();
		fleet().vm(0).setInBalancer(true);
	}

	private void freezeSteward() {
		fleet().vm(1).steward().suspend();
		Await.sleep(2_000);
		fleet().vm(1).steward().resume();
	}

	private void outageAndKill() throws IOException {
		fleet().setPlatformFault(OUTAGE);
		Await.sleep(500);
		fleet().vm(1).steward().kill();
		fleet().restartSteward(1);
		Await.sleep(1_500);
		fleet().setPlatformFault(NO_OUTAGE);
	}

	private void killDuringHandover() throws IOException {
		fleet().setPlatformFault("{\"delay_ms\":150}");
		fleet().vm(2).steward().requestStop();
		Await.sleep(200);
		fleet().vm(2).steward().kill();
		fleet().setPlatformFault("{\"delay_ms\":0}");
		fleet().restartSteward(2);
	}

	private void replaceVm() {
		fleet().setPlatformFault("{\"vm_list_lag_ms\":{\"vm-1\":1500,\"vm-2\":700}}");
		fleet().vm(3).setInBalancer(false);
		fleet().vm(3).entry().kill();
		fleet().vm(3).steward().kill();
		fleet().vm(3).setListed(false);
		fleet().publishVms();
	}

	private void freezeDuringDrain() throws IOException {
		fleet().vm(2).steward().requestStop();
		Await.sleep(30);
		fleet().vm(2).steward().suspend();
		Await.sleep(1_500);
		fleet().vm(2).steward().resume();
		fleet().vm(2).steward().awaitExit();
		fleet().restartSteward(2);
	}

	private void cutUpstreams() {
		for (int i = 0; i < 5; i++) {
			fleet().proxy("dispatch-" + (1 + i % 4)).closeConnections();
			Await.sleep(400);
		}
	}

	/** Named fault, for test reports. */
	private static final class NamedFault {

		private final String name;

		private final FaultAction action;

		private NamedFault(String name, FaultAction action) {
			this.name = name;
			this.action = action;
		}

		@Override
		public String toString() {
			return this.name;
		}

	}

	/** Injects a fault. */
	@FunctionalInterface
	private interface FaultAction {

		void run() throws IOException;

	}

}
