package org.tallycart.node;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.tallycart.platform.standin.UpstreamStandin;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/**
 * Tests with upstreams that state in their replies that they fail if they have to reject
 * more than a few requests a second, on real sockets.
 */
public class BrittleUpstreamTests extends AbstractNodeTests {

	/** Time from the first statement until failures count, in milliseconds. */
	private static final long CONTACT_MS = 3_000;

	private static final long MEASURED_MS = 6_000;

	/** Failures that the platform tolerates, besides a tenth of the upstreams. */
	private static final double TOLERATED = 2;

	private static final int CALLERS = 12;

	private static final long PAUSE_MS = 20;

	private static final long WORK_MS = 100;

	@Override
	int vms() {
		return 3;
	}

	@DataProvider
	static Object[][] services() {
		return new Object[][] { { "plain", "/plain/x", KEY }, { "plain", "/once/x", KEY },
				{ "engine", "/fragile/x", GENERATION } };
	}

	// Guards against VMs that together send brittle upstreams more than they have room
	// for, again and again, until they fail.
	@Test(dataProvider = "services")
	void brittleUpstreamsAreNotOverwhelmed(String service, String path, String headers) {
		List<UpstreamStandin> brittle = this.upstreams.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().startsWith("i-" + service))
			.map((entry) -> entry.getValue())
			.toList();
		brittle.forEach((upstream) -> {
			upstream.setWorkMs(WORK_MS);
			upstream.limitRoom(2);
			upstream.makeBrittle(2);
		});
		startCallers(CALLERS, PAUSE_MS,
				(round) -> request(this.nodes.get(round % vms()), path, "r" + System.nanoTime(), headers));
		pause(CONTACT_MS);
		long fromMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
		pause(MEASURED_MS);
		long failures = brittle.stream().mapToLong((upstream) -> upstream.brittleFailures(fromMs)).sum();
		assertTrue(failures <= TOLERATED + brittle.size() / 10.0, failures + " failures");
	}

}
