package org.tallycart.core.upstream;

import java.util.List;
import java.util.Set;

import org.tallycart.core.serving.UpstreamEntry;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Tests for {@link HedgeTargets}.
 */
public class HedgeTargetsTests {

	private static final long RECENT_MS = 500;

	private static final long NOW_MS = 2_000;

	private UpstreamDirectory directory = new UpstreamDirectory();

	@BeforeMethod
	void setUp() {
		this.directory = new UpstreamDirectory();
		this.directory.replace(List.of(UpstreamEntry.builder("a", "s").build(), UpstreamEntry.builder("b", "s").build(),
				UpstreamEntry.builder("c", "s").build()), 0);
	}

	private UpstreamState state(String id) {
		return this.directory.activeUpstreams("s")
			.stream()
			.filter((state) -> state.entry().id().equals(id))
			.findFirst()
			.orElseThrow();
	}

	private List<String> preferred(Set<String> tried) {
		List<UpstreamState> targets = HedgeTargets.from(this.directory.candidates("s", NOW_MS), tried, NOW_MS);
		return HedgeTargets.preferred(targets, RECENT_MS, NOW_MS)
			.stream()
			.map((state) -> state.entry().id())
			.sorted()
			.toList();
	}

	// Guards against a hedge that goes to a second upstream which is gone, while another
	// one answers.
	@Test
	void upstreamsThatWereHeardAMomentAgoArePreferred() {
		state("b").onHeard(NOW_MS - RECENT_MS);
		state("c").onHeard(NOW_MS - RECENT_MS - 1);
		assertEquals(preferred(Set.of()), List.of("b"));
	}

	// Guards against requests without a hedge in a service that has little traffic.
	@Test
	void allAreTargetsIfNoneWasHeardAMomentAgo() {
		assertEquals(preferred(Set.of("a")), List.of("b", "c"));
	}

	@Test
	void upstreamsThatWereTriedOrAreSilentAreNoTargets() {
		state("a").onHeard(NOW_MS - 1);
		state("b").onSilent(0, NOW_MS - 1);
		assertEquals(preferred(Set.of("a")), List.of("c"));
		assertEquals(preferred(Set.of("a", "c")), List.of());
	}

	// Guards against hedges that pass over an upstream which was silent and has gone on.
	@Test
	void anUpstreamIsPreferredAgainFromItsFirstByte() {
		state("a").onHeard(NOW_MS - 100);
		state("b").onSilent(0, NOW_MS - 50);
		assertEquals(preferred(Set.of()), List.of("a"));
		state("b").onHeard(NOW_MS);
		assertEquals(preferred(Set.of()), List.of("a", "b"));
	}

}
