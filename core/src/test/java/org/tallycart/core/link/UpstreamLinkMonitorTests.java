package org.tallycart.core.link;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import org.tallycart.core.ini.Address;
import org.tallycart.core.serving.UpstreamEntry;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests for the detection of lost links, in virtual time.
 */
public class UpstreamLinkMonitorTests {

	private UpstreamLinkMonitor monitor = new UpstreamLinkMonitor();

	@BeforeMethod
	void begin() {
		this.monitor = new UpstreamLinkMonitor();
	}

	private static List<UpstreamEntry> upstreams(int count) {
		return IntStream.range(0, count)
			.mapToObj((i) -> UpstreamEntry.builder("i-" + i, "service" + i % 2)
				.location(new Address("10.0.0." + i, 80), "d" + i % 3)
				.build())
			.toList();
	}

	private void fail(List<Address> addresses) {
		addresses.forEach(this.monitor::onConnectFailed);
	}

	// Fails all probes of a check, which has two rounds.
	private void isolate(List<UpstreamEntry> upstreams) {
		fail(suspect(upstreams, 0));
		fail(this.monitor.update(upstreams, 0));
		this.monitor.update(upstreams, 0);
	}

	private List<Address> suspect(List<UpstreamEntry> upstreams, long nowMs) {
		this.monitor.onConnectFailed(upstreams.get(0).address());
		this.monitor.onConnectFailed(upstreams.get(1).address());
		return this.monitor.update(upstreams, nowMs);
	}

	@DataProvider
	static Object[][] counts() {
		return new Object[][] { { 2 }, { 3 }, { 6 }, { 40 } };
	}

	@Test(dataProvider = "counts")
	void aVmThatReachesNoUpstreamIsIsolated(int count) {
		List<UpstreamEntry> upstreams = upstreams(count);
		isolate(upstreams);
		assertTrue(this.monitor.isIsolated());
	}

	// Guards against taking failed upstreams for failed links: a probe of another
	// upstream refutes the suspicion.
	@Test
	void aVmThatReachesOneUpstreamIsNotIsolated() {
		List<UpstreamEntry> upstreams = upstreams(6);
		List<Address> probes = suspect(upstreams, 0);
		assertEquals(probes.size(), 1);
		fail(probes);
		assertEquals(this.monitor.update(upstreams, 0).size(), 3);
		this.monitor.onConnected();
		this.monitor.update(upstreams, 1);
		assertFalse(this.monitor.isIsolated());
	}

	@Test
	void probesGoToOtherUpstreamsThanThoseThatFailed() {
		List<UpstreamEntry> upstreams = upstreams(6);
		List<Address> probes = suspect(upstreams, 0);
		List<Address> all = new ArrayList<>(probes);
		fail(probes);
		all.addAll(this.monitor.update(upstreams, 0));
		assertEquals(Set.copyOf(all), Set.copyOf(upstreams.stream().skip(2).map(UpstreamEntry::address).toList()));
	}

	// Guards against a silent cut that shows only once all pooled connections have been
	// used up.
	@Test
	void silenceWhileCallsAreInProgressIsChecked() {
		List<UpstreamEntry> upstreams = upstreams(6);
		this.monitor.onCallStarted(1_000);
		assertEquals(this.monitor.update(upstreams, 1_900), List.of());
		assertEquals(this.monitor.update(upstreams, 2_000).size(), 1);
	}

	@Test
	void anIdleVmOpensNoConnections() {
		this.monitor.onCallStarted(1_000);
		this.monitor.onReceived(1_010);
		this.monitor.onCallEnded();
		assertEquals(this.monitor.update(upstreams(6), 60_000), List.of());
	}

	// Guards against a second of silence at an upstream that is taken for a failed link.
	@Test
	void silenceOfOneUpstreamAmongOthersIsNotChecked() {
		this.monitor.onCallStarted(0);
		this.monitor.onCallStarted(0);
		for (long nowMs = 0; nowMs < 3_000; nowMs += 100) {
			this.monitor.onReceived(nowMs);
			assertEquals(this.monitor.update(upstreams(6), nowMs), List.of());
		}
	}

	@Test
	void anIsolatedVmProbesOneUpstreamAtATimeUntilOneAccepts() {
		List<UpstreamEntry> upstreams = upstreams(6);
		isolate(upstreams);
		long probes = 0;
		for (long nowMs = 0; nowMs < 10_000; nowMs += 100) {
			List<Address> addresses = this.monitor.update(upstreams, nowMs);
			assertTrue(addresses.size() <= 1);
			probes += addresses.size();
			fail(addresses);
		}
		assertTrue(probes >= 10 && probes <= 30, probes + " probes");
		this.monitor.onConnected();
		assertFalse(this.monitor.isIsolated());
	}

	// Guards against many probes on days on which a few upstreams are down.
	@Test
	void checksAreRareWhileSomeUpstreamsAreDown() {
		List<UpstreamEntry> upstreams = upstreams(8);
		long probes = 0;
		for (long nowMs = 0; nowMs < 10_000; nowMs += 10) {
			List<Address> addresses = suspect(upstreams, nowMs);
			probes += addresses.size();
			if (!addresses.isEmpty()) {
				this.monitor.onConnected();
			}
		}
		assertTrue(probes <= 11, probes + " probes");
	}

}
