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

import static org.testng.Assert.assertTrue;

/**
 * A request that may not be repeated runs at most once, and one told NOT_RUN never ran,
 * though its caller asks again through other VMs while processes die, freeze, drain and
 * are cut off. Runs are counted at the plain service.
 */
public class AtMostOnceTests extends AbstractFleetTests {

	private static final String OUTAGE = "{\"outage\":true}";

	private static final String NO_OUTAGE = "{\"outage\":false}";

	@Override
	FleetDefinition shape() {
		// Slow enough that some confirmations are always in flight when a fault comes.
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
	void nothingRunsTwiceAndNotRunIsTrue(NamedFault fault, double leastWhole) throws IOException {
		BackgroundLoad load = BackgroundLoad.start(fleet(), 40, 5_000, BackgroundLoad.confirmations());
		Await.sleep(1_000);
		fault.action.run();
		LoadTestReport report = load.await();
		Map<String, Integer> runs = fleet().runsByMarker();
		for (Map.Entry<String, String> told : report.lastOutcomes().entrySet()) {
			int ran = runs.getOrDefault(told.getKey(), 0);
			assertTrue(ran <= 1, told.getKey() + " ran " + ran + " times");
			assertTrue(!told.getValue().equals("NOT_RUN") || ran == 0, told.getKey() + " was told NOT_RUN and ran");
			assertTrue(!told.getValue().equals("COMPLETE") || ran == 1,
					told.getKey() + " was told COMPLETE and ran " + ran);
		}
		assertTrue(report.violationCount() == 0, report.toText());
		double whole = (double) report.countByOutcome("COMPLETE") / report.requestCount();
		System.out.println("at most once, " + fault + ": " + report.requestCount() + " confirmations, " + whole
				+ " answered COMPLETE, UNKNOWN " + report.countByOutcome("UNKNOWN") + ", NOT_RUN "
				+ report.countByOutcome("NOT_RUN") + ", FAILED " + report.countByOutcome("FAILED") + ", NONE "
				+ report.countByOutcome("NONE"));
		assertTrue(whole >= leastWhole, "safety by refusing everything is no success: " + report.toText());
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

	/** A fault with its name. */
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

	/** Brings a fault about. */
	@FunctionalInterface
	private interface FaultAction {

		void run() throws IOException;

	}

}
