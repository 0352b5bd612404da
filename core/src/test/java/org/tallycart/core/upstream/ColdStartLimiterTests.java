package org.tallycart.core.upstream;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;

import org.tallycart.core.ini.Address;
import org.tallycart.core.serving.Prompt;
import org.tallycart.core.serving.PromptPart;
import org.tallycart.core.serving.UpstreamEntry;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests for what cold upstreams get from many VMs together. The figures are those of a
 * sheet: 86 VMs, 98 engines that bear 6.7 requests a second while cold for 3 s, and a
 * limit of one and a half times that and five in any second.
 */
public class ColdStartLimiterTests {

	private static final int VMS = 86;

	private static final int ENGINES = 98;

	private static final double RATE = 6.7;

	private static final double MOST_IN_A_SECOND = RATE * 1.5 + 5;

	private final List<UpstreamState> engines = new ArrayList<>();

	private final Map<UpstreamState, Deque<Long>> sent = new HashMap<>();

	private double most;

	@BeforeMethod
	void begin() {
		this.engines.clear();
		this.sent.clear();
		this.most = 0;
	}

	private void addEngines(int cold) {
		for (int i = 0; i < ENGINES; i++) {
			UpstreamEntry entry = UpstreamEntry.builder("e" + i, "s")
				.location(new Address("10.0.0.1", 1 + i), "d" + i % 4)
				.slots(24)
				.coldMs((i < cold) ? 3_000 : 0)
				.build();
			this.engines.add(new UpstreamState(entry, new UnavailabilityRegistry(), 0));
		}
	}

	private static List<String> names(int from, int to) {
		return IntStream.range(from, to).mapToObj((i) -> "vm-" + i).toList();
	}

	private static List<ColdStartLimiter> limits(Collection<String> known, Collection<String> knownToOthers) {
		List<ColdStartLimiter> limits = new ArrayList<>();
		for (int i = 0; i < VMS; i++) {
			Collection<String> view = (i % 2 == 0) ? known : knownToOthers;
			limits.add(new ColdStartLimiter("vm-" + i, () -> view, (service) -> RATE));
		}
		return limits;
	}

	// Plays three seconds; callers come to the first VMs only. Returns which share was
	// sent.
	private double play(List<ColdStartLimiter> limits, int callersVms, int perSecond, int sessions) {
		Random random = new Random(7);
		int served = 0;
		int all = perSecond * 3;
		for (int i = 0; i < all; i++) {
			long now = i * 1_000L / perSecond;
			ColdStartLimiter limit = limits.get(random.nextInt(callersVms));
			Prompt prompt = new Prompt("m", 9_000,
					List.of(new PromptPart("shared", 2_500), new PromptPart("s" + random.nextInt(sessions), 3_800)));
			UpstreamState engine = EngineChooser.choose(prompt, limit.admit(this.engines, now), now)
				.map(UpstreamChoice::upstream)
				.orElse(null);
			if (engine != null) {
				limit.onSend(engine, now);
				engine.onSend(30);
				count(engine, now);
				served++;
			}
		}
		return (double) served / all;
	}

	private void count(UpstreamState engine, long now) {
		Deque<Long> times = this.sent.computeIfAbsent(engine, (key) -> new ArrayDeque<>());
		times.addLast(now);
		while (now - times.peekFirst() >= 1_000) {
			times.removeFirst();
		}
		if (engine.cold(now)) {
			this.most = Math.max(this.most, times.size());
		}
	}

	/**
	 * Pattern: a whole failure domain returns cold while the others are under a burst,
	 * and a sixth of all requests is about one thing.
	 */
	@Test
	void whileOthersAreWarmColdOnesGetNothing() {
		addEngines(ENGINES / 4);
		assertEquals(play(limits(names(0, VMS), names(0, VMS)), VMS, 430, 6), 1.0);
		assertEquals(this.most, 0.0);
	}

	@DataProvider
	static Object[][] views() {
		return new Object[][] { { 0, VMS, VMS }, { 20, 50, VMS }, { 43, VMS, VMS }, { 0, VMS, 6 }, { 20, 50, 6 } };
	}

	/**
	 * Pattern: all engines were replaced at once, every other VM knows of a part of the
	 * VMs only, and callers come to all VMs or to six.
	 */
	@Test(dataProvider = "views")
	void whereAllAreColdNoneGetsMoreThanItBears(int knownFrom, int knownTo, int callersVms) {
		addEngines(ENGINES);
		play(limits(names(0, VMS), names(knownFrom, knownTo)), callersVms, 1_300, 40);
		assertTrue(this.most <= MOST_IN_A_SECOND, this.most + " in a second");
	}

	/** Pattern: all engines were replaced at once, under the sheet's load. */
	@Test
	void whereAllAreColdTheyAreUsedByTheVmsThatMay() {
		addEngines(ENGINES);
		double served = play(limits(names(0, VMS), names(0, VMS)), VMS, 173, 600);
		assertTrue(served > 0.7, "served " + served);
	}

	@Test
	void aVmThatKnowsNoOtherSendsNothingToAColdUpstream() {
		addEngines(ENGINES);
		ColdStartLimiter alone = new ColdStartLimiter("vm-1", List::of, (service) -> RATE);
		assertTrue(alone.admit(this.engines, 0).isEmpty());
		assertEquals(alone.admit(this.engines, 3_000).size(), ENGINES, "warm");
	}

	@Test
	void aServiceWithoutALimitIsNotLimited() {
		addEngines(ENGINES);
		assertEquals(new ColdStartLimiter("vm-1", List::of, (service) -> 0).admit(this.engines, 0).size(), ENGINES);
	}

}
