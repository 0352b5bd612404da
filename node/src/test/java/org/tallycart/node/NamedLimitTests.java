package org.tallycart.node;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

import org.tallycart.platform.standin.UpstreamStandin;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests for upstreams that state a limit on the requests a second from all VMs together.
 * <p>
 * Guards against VMs that keep to the limit each on its own, or not at all, so that the
 * upstream receives more than it has stated.
 */
public class NamedLimitTests extends AbstractNodeTests {

	/** Time after which a limit holds once it is stated, in milliseconds. */
	private static final long ENFORCEMENT_DELAY_MS = 3_000;

	private static final long SPAN_MS = 4_000;

	/** Time for which callers send requests, in milliseconds. */
	private static final long TRAFFIC_MS = 9_000;

	private static final double PER_SECOND = 2;

	/** Number of requests in one span that the platform tolerates under that limit. */
	private static final int TOLERATED = (int) (1.5 * PER_SECOND * SPAN_MS / 1_000) + 5;

	private static final int CALLERS = 6;

	/** More callers than get a permit within the maximum wait of a request. */
	private static final int MANY_CALLERS = 30;

	/** Pause of one caller between two requests, in milliseconds. */
	private static final long PAUSE_MS = 150;

	private final AtomicInteger served = new AtomicInteger();

	private final AtomicInteger declined = new AtomicInteger();

	private final AtomicInteger lastId = new AtomicInteger();

	@Override
	int vms() {
		return 3;
	}

	@DataProvider
	static Object[][] services() {
		return new Object[][] { { "engine", "/stream/x", GENERATION }, { "plain", "/plain/x", KEY } };
	}

	@BeforeMethod(dependsOnMethods = "begin")
	void resetCallers() {
		this.served.set(0);
		this.declined.set(0);
	}

	private void startCallers(int count, String path, String headers) {
		startCallers(count, PAUSE_MS, (round) -> call(round, path, headers));
	}

	private void call(int round, String path, String headers) {
		List<Node> currentNodes;
		synchronized (this.nodes) {
			currentNodes = List.copyOf(this.nodes);
		}
		String id = "r" + this.lastId.incrementAndGet();
		// Sessions differ, so that requests are spread over all engines.
		String sessionHeaders = headers.replace("bb:200", "b" + Integer.toHexString(round) + ":200");
		String response = request(currentNodes.get(round % currentNodes.size()), path, id, sessionHeaders);
		if (response.startsWith("HTTP/1.1 200")) {
			this.served.incrementAndGet();
		}
		else if (response.startsWith("HTTP/1.1 503") && response.contains("Retry-After")) {
			this.declined.incrementAndGet();
		}
	}

	private static long monotonicMs() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

	private UpstreamStandin limited(String service) {
		UpstreamStandin upstream = this.upstreams.get("i-" + service + "0");
		upstream.stateLimit(String.valueOf(PER_SECOND));
		return upstream;
	}

	private static void assertKept(UpstreamStandin upstream, long fromMs) {
		int maxArrivals = upstream.maxArrivals(SPAN_MS, fromMs);
		assertTrue(maxArrivals <= TOLERATED, maxArrivals + " in " + SPAN_MS + " ms, " + TOLERATED + " are tolerated");
	}

	/** One upstream of two states a limit below its share of normal traffic. */
	@Test(dataProvider = "services")
	void aStatedLimitHoldsForAllVmsTogether(String service, String path, String headers) {
		UpstreamStandin limited = limited(service);
		long fromMs = monotonicMs() + ENFORCEMENT_DELAY_MS;
		startCallers(CALLERS, path, headers);
		pause(TRAFFIC_MS);
		assertKept(limited, fromMs);
		assertTrue(limited.maxArrivals(SPAN_MS, fromMs) >= PER_SECOND, "requests within the limit are still sent");
		assertEquals(this.declined.get(), 0, "the other upstream serves the rest");
	}

	/** The same, while VMs are restarted one after the other. */
	@Test(dataProvider = "services")
	void itHoldsWhileVmsAreRestarted(String service, String path, String headers) {
		UpstreamStandin limited = limited(service);
		long fromMs = monotonicMs() + ENFORCEMENT_DELAY_MS;
		startCallers(CALLERS, path, headers);
		pause(ENFORCEMENT_DELAY_MS);
		for (int i = 0; i < vms(); i++) {
			restart(i);
			pause(SPAN_MS / 2);
		}
		assertKept(limited, fromMs);
	}

	private void restart(int number) {
		Node before = this.nodes.get(number);
		before.close();
		Node after = Node.start(settings("vm-" + number), 0).get();
		synchronized (this.nodes) {
			this.nodes.set(number, after);
		}
		await(() -> ready(after));
	}

	/** The store is down while the limit is stated. */
	@Test
	void itHoldsWhileTheStoreIsAway() {
		UpstreamStandin limited = limited("engine");
		this.store.setDown(true);
		long fromMs = monotonicMs() + ENFORCEMENT_DELAY_MS;
		startCallers(CALLERS, "/stream/x", GENERATION);
		pause(TRAFFIC_MS);
		assertKept(limited, fromMs);
	}

	/** VMs start after the limit was stated, and receive requests at once. */
	@Test
	void vmsThatStartLaterKeepToTheLimit() {
		UpstreamStandin limited = limited("engine");
		startCallers(CALLERS, "/stream/x", GENERATION);
		pause(ENFORCEMENT_DELAY_MS);
		long fromMs = monotonicMs();
		for (int i = 0; i < vms(); i++) {
			Node late = Node.start(settings("vm-late" + i), 0).get();
			await(() -> ready(late));
			synchronized (this.nodes) {
				this.nodes.add(late);
			}
		}
		pause(SPAN_MS);
		assertKept(limited, fromMs);
	}

	/** All upstreams of a service state a limit, and demand exceeds it. */
	@Test(dataProvider = "services")
	void requestsWithinTheLimitsAreServedAndOthersGetRetryAfter(String service, String path, String headers) {
		List<UpstreamStandin> all = IntStream.range(0, 2)
			.mapToObj((i) -> this.upstreams.get("i-" + service + i))
			.toList();
		all.forEach((upstream) -> upstream.stateLimit("5"));
		startCallers(MANY_CALLERS, path, headers);
		pause(ENFORCEMENT_DELAY_MS);
		long fromMs = monotonicMs();
		int before = this.served.get();
		pause(SPAN_MS);
		int inSpan = this.served.get() - before;
		all.forEach((upstream) -> assertTrue(upstream.maxArrivals(SPAN_MS, fromMs) <= 35));
		assertTrue(inSpan >= 32, inSpan + " served of 40 within the limits");
		assertTrue(this.declined.get() > 0, "demand exceeds the limits");
	}

	/** An upstream states a limit for some time, and then no longer. */
	@Test(dataProvider = "services")
	void aLimitEndsWhenRepliesStateItNoLonger(String service, String path, String headers) {
		UpstreamStandin limited = limited(service);
		startCallers(CALLERS, path, headers);
		pause(ENFORCEMENT_DELAY_MS);
		limited.clearLimit();
		await(() -> limited.maxArrivals(1_000, monotonicMs() - 1_000) > 3 * PER_SECOND);
	}

	/** A worker of a stage pool states a limit. */
	@Test
	void aWorkerOfAPoolGetsNoMoreCallsThanItsLimit() {
		UpstreamStandin limited = limited("pool");
		long fromMs = monotonicMs() + ENFORCEMENT_DELAY_MS;
		startCallers(CALLERS, "/stream/x", GENERATION + "X-Tallycart-Pieces: 1,1\r\nX-Tallycart-Piece-Key: k\r\n");
		pause(TRAFFIC_MS);
		assertKept(limited, fromMs);
		assertEquals(this.declined.get(), 0, "the other worker completes the rest");
	}

	/** The limit in a reply is malformed. */
	@Test
	void aMalformedLimitIsIgnored() {
		UpstreamStandin upstream = this.upstreams.get("i-plain0");
		upstream.stateLimit("many");
		startCallers(CALLERS, "/plain/x", KEY);
		await(() -> upstream.maxArrivals(1_000, monotonicMs() - 1_000) > 3 * PER_SECOND);
		assertTrue(metrics(this.nodes.get(0)).contains("upstreams_unreadable_limit"));
		assertEquals(this.declined.get(), 0);
	}

}
