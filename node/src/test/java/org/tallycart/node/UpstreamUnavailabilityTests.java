package org.tallycart.node;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;

import org.tallycart.platform.standin.UpstreamStandin;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests for upstreams that say in their replies that they leave, or that they need rest.
 * <p>
 * Seen: an engine that had said that it leaves got requests four and five seconds later
 * from VMs that had passed its word on; an engine that had refused a VM and asked it for
 * three seconds of rest got five requests from it in that time. How it came about: the
 * list of upstreams could not change while the store was away, and no VM went by anything
 * else; the resting engine refused within two milliseconds and had no work, so it looked
 * like the one with most room and was chosen the more often. Cause: both words went to
 * callers, or nowhere, unread. Proof: it comes about with the store at hand as without
 * it, at engines, plain services and pools alike, and no send is a repeat or had waited.
 */
public class UpstreamUnavailabilityTests extends AbstractNodeTests {

	/** After which a leaving upstream gets nothing new, in milliseconds. */
	private static final long DRAIN_MS = 2_000;

	/** How long a rest is asked for, in milliseconds, and after which it is kept. */
	private static final long REST_MS = 3_000;

	private static final long REST_KEPT_FROM_MS = 500;

	/** Requests that the platform tolerates within a rest. */
	private static final int TOLERATED = 2;

	private static final int CALLERS = 4;

	/** Pause of one caller between two requests, in milliseconds. */
	private static final long PAUSE_MS = 60;

	/** A refusal that takes longer has held its caller, in milliseconds. */
	private static final long HELD_MS = 2_500;

	private static final String STAGED = GENERATION + "X-Tallycart-Pieces: 1,1\r\nX-Tallycart-Piece-Key: k\r\n";

	private static final Pattern RETRY_AFTER = Pattern.compile("Retry-After: ([0-9.]+)");

	private final List<Thread> callers = new ArrayList<>();

	private final AtomicInteger unserved = new AtomicInteger();

	private final AtomicInteger lastId = new AtomicInteger();

	private volatile boolean calling = true;

	@Override
	int vms() {
		return 2;
	}

	@DataProvider
	static Object[][] services() {
		return new Object[][] { { "engine", "/stream/x", GENERATION }, { "plain", "/plain/x", KEY },
				{ "pool", "/stream/x", STAGED } };
	}

	@BeforeMethod(dependsOnMethods = "begin")
	void beginCalling() {
		this.calling = true;
		this.unserved.set(0);
		this.callers.clear();
	}

	@AfterMethod
	void endCalling() throws InterruptedException {
		this.calling = false;
		for (Thread caller : this.callers) {
			caller.join(WAIT_MS);
		}
	}

	// Callers of one VM, or of all by turns.
	private void startCallers(boolean all, String path, String fields) {
		IntStream.range(0, CALLERS).forEach((i) -> {
			Thread caller = new Thread(() -> {
				for (int round = i; this.calling; round++) {
					Node node = this.nodes.get(all ? round % vms() : 0);
					if (!call(node, path, fields).startsWith("HTTP/1.1 200")) {
						this.unserved.incrementAndGet();
					}
					pause(PAUSE_MS);
				}
			});
			this.callers.add(caller);
			caller.start();
		});
	}

	private String call(Node node, String path, String fields) {
		int number = this.lastId.incrementAndGet();
		// Sessions differ, so that all engines are wanted.
		String own = fields.replace("bb:200", "b" + Integer.toHexString(number % 32) + ":200");
		return request(node, path, "r" + number, own);
	}

	private static long steadyMs() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

	private UpstreamStandin upstream(String service) {
		return this.upstreams.get("i-" + service + "0");
	}

	private List<UpstreamStandin> all(String service) {
		return List.of(upstream(service), this.upstreams.get("i-" + service + "1"));
	}

	private static long arrivals(UpstreamStandin upstream, long fromMs, long untilMs) {
		return within(upstream.arrivalsMs(), fromMs, untilMs);
	}

	private static long within(List<Long> timesMs, long fromMs, long untilMs) {
		return timesMs.stream().filter((at) -> at >= fromMs && at < untilMs).count();
	}

	private long arrivals(String service) {
		return all(service).stream().mapToLong((upstream) -> upstream.arrivalsMs().size()).sum();
	}

	private static void assertGetsNothing(UpstreamStandin upstream) {
		long fromMs = steadyMs();
		pause(DRAIN_MS);
		assertEquals(arrivals(upstream, fromMs, steadyMs()), 0, "requests after it had said that it leaves");
	}

	/** Pattern: one upstream of two leaves while the store is away. */
	@Test(dataProvider = "services")
	void anUpstreamThatLeavesGetsNothingNewWhileTheStoreIsAway(String service, String path, String fields) {
		this.store.setDown(true);
		startCallers(true, path, fields);
		upstream(service).sayLeaving("1");
		pause(DRAIN_MS);
		assertGetsNothing(upstream(service));
		assertEquals(this.unserved.get(), 0, "the other one takes all");
	}

	/** Pattern: it leaves without a word in its entry, and every request fails there. */
	@Test
	void itIsBelievedInAnswersThatAreFailuresToo() {
		setFault("plain", UpstreamStandin.Fault.ERROR);
		startCallers(true, "/plain/x", KEY);
		upstream("plain").sayLeaving("1");
		pause(DRAIN_MS);
		assertGetsNothing(upstream("plain"));
	}

	/** Pattern: its entry goes and comes back as ready, as from an older copy. */
	@Test
	void anEntryThatComesBackDoesNotTakeItBack() {
		startCallers(true, "/plain/x", KEY);
		upstream("plain").sayLeaving("1");
		pause(DRAIN_MS);
		this.store.remove("servers", "i-plain0");
		pause(DRAIN_MS / 4);
		this.store.put("servers", "i-plain0", upstream("plain").entry("plain", "d", "ready"));
		assertGetsNothing(upstream("plain"));
	}

	/**
	 * Pattern: one VM hears it, callers come to another, and to one that has started
	 * later and has found the others.
	 */
	@Test
	void allVmsKnowItAlsoThoseThatStartLater() {
		upstream("plain").sayLeaving("1");
		await(() -> call(this.nodes.get(0), "/plain/x", KEY).contains("Server-Leaving"));
		pause(DRAIN_MS / 2);
		Node late = Node.start(settings("vm-late"), 0).get();
		this.nodes.add(late);
		await(() -> metrics(late).contains("upstreams_leaving 1"));
		await(() -> ready(late));
		long fromMs = steadyMs();
		for (int i = 0; i < 20; i++) {
			assertTrue(call(this.nodes.get(1), "/plain/x", KEY).startsWith("HTTP/1.1 200"));
			assertTrue(call(late, "/plain/x", KEY).startsWith("HTTP/1.1 200"));
		}
		assertEquals(arrivals(upstream("plain"), fromMs, steadyMs()), 0);
	}

	/** Pattern: one upstream of two refuses a VM and asks it for rest. */
	@Test(dataProvider = "services")
	void anUpstreamThatRestsIsLeftAloneAndUsedAgain(String service, String path, String fields) {
		startCallers(false, path, fields);
		UpstreamStandin resting = upstream(service);
		await(() -> !resting.arrivalsMs().isEmpty());
		resting.askForRest("3");
		long askedMs = steadyMs();
		await(() -> arrivals(resting, askedMs, steadyMs()) > 0);
		pause(REST_MS);
		long firstMs = resting.arrivalsMs().stream().filter((at) -> at >= askedMs).findFirst().orElseThrow();
		long inRest = within(resting.arrivalsMs(), firstMs + REST_KEPT_FROM_MS, firstMs + REST_MS);
		assertTrue(inRest <= TOLERATED, inRest + " requests within a rest");
		assertEquals(this.unserved.get(), 0, "the other one takes all");
		long givenInRest = within(resting.givenInRestMs(), firstMs + REST_KEPT_FROM_MS, firstMs + REST_MS);
		assertEquals(givenInRest, 0, "results can be given back later");
		resting.endRest();
		long endedMs = steadyMs();
		await(() -> arrivals(resting, endedMs, steadyMs()) > 0);
	}

	/** Pattern: it asks one VM for rest; the other one may go on. */
	@Test
	void aRestConcernsOnlyTheVmThatWasAsked() {
		UpstreamStandin resting = upstream("plain");
		resting.askForRest("30");
		await(() -> {
			call(this.nodes.get(0), "/plain/x", KEY);
			return !resting.arrivalsMs().isEmpty();
		});
		resting.endRest();
		int before = resting.arrivalsMs().size();
		await(() -> {
			call(this.nodes.get(1), "/plain/x", KEY);
			return resting.arrivalsMs().size() > before;
		});
	}

	/** Pattern: all upstreams of a service, or all workers of a pool, need rest. */
	@Test(dataProvider = "services")
	void whereAllRestCallersHearAtOnceWhenToComeBack(String service, String path, String fields) {
		all(service).forEach((upstream) -> upstream.askForRest("20"));
		Node node = this.nodes.get(0);
		await(() -> {
			call(node, path, fields);
			return all(service).stream().noneMatch((upstream) -> upstream.arrivalsMs().isEmpty());
		});
		long before = arrivals(service);
		long fromMs = steadyMs();
		String answer = call(node, path, fields);
		assertTrue(steadyMs() - fromMs < HELD_MS, "held for " + (steadyMs() - fromMs) + " ms");
		assertRefused(answer, 10, 21);
		assertEquals(arrivals(service), before, "nothing more was sent");
	}

	private static void assertRefused(String answer, double leastSeconds, double mostSeconds) {
		assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
		Matcher matcher = RETRY_AFTER.matcher(answer);
		assertTrue(matcher.find(), answer);
		double seconds = Double.parseDouble(matcher.group(1));
		assertTrue(seconds >= leastSeconds && seconds <= mostSeconds, "to come back in " + seconds + " s");
	}

	/** Pattern: all upstreams of a service, or all workers of a pool, leave. */
	@Test(dataProvider = "services")
	void whereAllLeaveCallersHearAtOnceWhenToComeBack(String service, String path, String fields) {
		all(service).forEach((upstream) -> upstream.sayLeaving("1"));
		Node node = this.nodes.get(0);
		await(() -> {
			call(node, path, fields);
			return all(service).stream().noneMatch((upstream) -> upstream.arrivalsMs().isEmpty());
		});
		long before = arrivals(service);
		long fromMs = steadyMs();
		String answer = call(node, path, fields);
		assertTrue(steadyMs() - fromMs < HELD_MS, "held for " + (steadyMs() - fromMs) + " ms");
		assertRefused(answer, 0.2, 5);
		assertEquals(arrivals(service), before, "nothing more was sent");
	}

	/** Pattern: all engines rest, and a request would need stage work first. */
	@Test
	void noStageWorkIsMadeForARequestThatNoEngineTakes() {
		all("engine").forEach((engine) -> engine.askForRest("20"));
		Node node = this.nodes.get(0);
		await(() -> {
			call(node, "/stream/x", GENERATION);
			return all("engine").stream().noneMatch((upstream) -> upstream.arrivalsMs().isEmpty());
		});
		assertRefused(call(node, "/stream/x", STAGED), 10, 21);
		all("pool").forEach((worker) -> assertEquals(worker.batches().size(), 0));
	}

	@DataProvider
	static Object[][] unreadable() {
		return new Object[][] { { "leaving", "maybe" }, { "rest", "a while" } };
	}

	/** Pattern: what an upstream says of itself cannot be read. */
	@Test(dataProvider = "unreadable")
	void aWordThatCannotBeReadChangesNothing(String kind, String word) {
		UpstreamStandin upstream = upstream("plain");
		if (kind.equals("leaving")) {
			upstream.sayLeaving(word);
		}
		else {
			upstream.askForRest(word);
		}
		startCallers(false, "/plain/x", KEY);
		await(() -> upstream.arrivalsMs().size() > 10);
		assertTrue(metrics(this.nodes.get(0)).contains("upstreams_unreadable_" + kind));
	}

}
