package org.tallycart.core.upstream;

import java.util.List;
import java.util.OptionalLong;
import java.util.Set;

import org.tallycart.core.ini.Address;
import org.tallycart.core.serving.UpstreamEntry;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotSame;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

/**
 * Tests for the directory of upstreams.
 */
public class UpstreamDirectoryTests {

	private UpstreamDirectory directory = new UpstreamDirectory();

	@BeforeMethod
	void begin() {
		this.directory = new UpstreamDirectory();
		this.directory.replace(List.of(entry("a", false), entry("b", false)), 0);
	}

	private static UpstreamEntry entry(String id, boolean draining) {
		return UpstreamEntry.builder(id, "s")
			.location(new Address("10.0.0.1", id.charAt(0)), "d")
			.slots(4)
			.draining(draining)
			.build();
	}

	private List<String> candidates(long nowMs) {
		return this.directory.candidates("s", nowMs).stream().map((state) -> state.entry().id()).sorted().toList();
	}

	@Test
	void drainingAndRemovedUpstreamsAreNoCandidates() {
		this.directory.put(entry("a", true), 50);
		assertEquals(candidates(0), List.of("b"));
		this.directory.remove("b", 0);
		assertEquals(candidates(0), List.of());
		assertFalse(this.directory.ids().contains("b"));
	}

	@Test
	void anUnreachableUpstreamIsLeftOutForAWhile() {
		this.directory.activeUpstreams("s")
			.stream()
			.filter((s) -> s.entry().id().equals("a"))
			.findFirst()
			.orElseThrow()
			.onUnreachable(0);
		assertEquals(candidates(100), List.of("b"));
		assertEquals(candidates(1_000), List.of("a", "b"));
	}

	@Test
	void whereAllAreUnreachableAllAreTried() {
		this.directory.activeUpstreams("s").forEach((state) -> state.onUnreachable(0));
		assertEquals(candidates(100), List.of("a", "b"));
	}

	@Test
	void entriesThatLapseInAnOutageAreKeptUntilTheyShouldBeBack() {
		this.directory.onStoreLost();
		this.directory.remove("a", 100);
		this.directory.onStoreBack(1_000);
		this.directory.replace(List.of(entry("b", false)), 1_000);
		this.directory.expireVanished(3_000);
		assertEquals(candidates(3_000), List.of("a", "b"));
		this.directory.expireVanished(3_300);
		assertEquals(candidates(3_300), List.of("b"), "still missing: gone");
	}

	/** Its results have to be given back while it is used, or its room fills up. */
	@Test
	void anUpstreamWhoseEntryLapsedInAnOutageIsFoundByItsAddress() {
		this.directory.onStoreLost();
		this.directory.remove("a", 100);
		assertEquals(this.directory.findByAddress(entry("a", false).address()).orElseThrow().entry().id(), "a");
		this.directory.put(UpstreamEntry.builder("next", "s").location(entry("a", false).address(), "d").build(), 200);
		assertEquals(this.directory.findByAddress(entry("a", false).address()).orElseThrow().entry().id(), "next");
	}

	@Test
	void anEntryThatIsBackIsTheSameUpstream() {
		this.directory.onStoreLost();
		this.directory.remove("a", 100);
		this.directory.onStoreBack(1_000);
		this.directory.put(entry("a", false), 1_000);
		this.directory.expireVanished(9_000);
		assertEquals(candidates(9_000), List.of("a", "b"));
	}

	@Test
	void aDrainingUpstreamThatVanishesInAnOutageIsGone() {
		this.directory.put(entry("a", true), 50);
		this.directory.onStoreLost();
		this.directory.remove("a", 100);
		assertEquals(candidates(100), List.of("b"));
		assertTrue(this.directory.findByAddress(new Address("10.0.0.1", 'a')).isEmpty());
	}

	@Test
	void whatAnotherVmSaysOfAnOutageKeepsVanishedEntriesForThatTime() {
		assertEquals(this.directory.remainingGraceMs(0), 0);
		this.directory.extendGraceUntil(1_500);
		assertEquals(this.directory.remainingGraceMs(1_000), 500);
		this.directory.remove("a", 1_000);
		this.directory.expireVanished(1_400);
		assertEquals(candidates(1_400), List.of("a", "b"));
		this.directory.expireVanished(1_500);
		assertEquals(candidates(1_500), List.of("b"));
	}

	private static UpstreamEntry started(long unixMs) {
		return UpstreamEntry.builder("a", "s")
			.startedMs(OptionalLong.of(unixMs))
			.location(new Address("10.0.0.1", 'a'), "d")
			.slots(4)
			.build();
	}

	private UpstreamState state(String id) {
		return this.directory.activeUpstreams("s")
			.stream()
			.filter((state) -> state.entry().id().equals(id))
			.findFirst()
			.orElseThrow();
	}

	@Test
	void aRestartUnderTheSameNameIsAnotherIncarnation() {
		this.directory.put(started(1_000), 10);
		UpstreamState former = state("a");
		former.onUnreachable(20);
		this.directory.unavailability().onDraining(former.entry().incarnation(), 20);
		assertEquals(candidates(25), List.of("b"));
		this.directory.put(started(2_000), 30);
		assertNotSame(state("a"), former);
		assertEquals(state("a").errorRate(), 0.0);
		assertEquals(candidates(30), List.of("a", "b"), "that the former one leaves says nothing of this one");
	}

	@Test
	void anEntryFromBeforeARestartComesLateAndChangesNothing() {
		this.directory.put(started(2_000), 10);
		UpstreamState present = state("a");
		this.directory.put(started(1_000), 20);
		assertSame(state("a"), present);
		assertEquals(present.entry().startedMs().getAsLong(), 2_000);
	}

	/** Pattern: a bad entry written over a good one, while the store comes and goes. */
	@Test
	void anUpstreamWhoseEntryTurnedUnreadableIsNotUsedInAnOutageEither() {
		this.directory.onStoreLost();
		this.directory.removeInvalid("a");
		assertEquals(candidates(100), List.of("b"));
		this.directory.remove("b", 200);
		this.directory.removeInvalid("b");
		assertEquals(candidates(300), List.of(), "kept as vanished until then");
	}

	/** Pattern: a failure domain is emptied and taken back. */
	@Test
	void upstreamsOfAnEvacuatedFailureDomainGetNothingUntilItIsTakenBack() {
		this.directory.put(UpstreamEntry.builder("far", "s").location(new Address("10.0.0.2", 1), "other").build(), 0);
		this.directory.setEvacuatedDomains(Set.of("d"));
		assertEquals(candidates(0), List.of("far"));
		this.directory.setEvacuatedDomains(Set.of("d", "other"));
		assertEquals(candidates(0), List.of(), "not even where no other is left");
		this.directory.setEvacuatedDomains(Set.of());
		assertEquals(candidates(0), List.of("a", "b", "far"));
	}

	@Test
	void nothingIsSentBeforeItIsKnownWhatIsEvacuated() {
		this.directory.expectEvacuations();
		assertFalse(this.directory.isLoaded());
		assertEquals(candidates(0), List.of());
		this.directory.setEvacuatedDomains(Set.of());
		assertTrue(this.directory.isLoaded());
		assertEquals(candidates(0), List.of("a", "b"));
	}

	@Test
	void anUpstreamIsColdForAsLongAsItsEntrySaysAndMayTurnColdAgain() {
		this.directory.put(UpstreamEntry.builder("a", "s").coldMs(3_000).build(), 1_000);
		assertTrue(state("a").cold(3_900));
		this.directory.put(UpstreamEntry.builder("a", "s").coldMs(3_000).build(), 3_500);
		assertFalse(state("a").cold(4_100), "an entry that is read again is no news");
		this.directory.put(UpstreamEntry.builder("a", "s").coldMs(0).build(), 4_100);
		this.directory.put(UpstreamEntry.builder("a", "s").coldMs(2_500).build(), 5_000);
		assertEquals(state("a").remainingColdMs(5_500), 2_000);
	}

	/** Pattern: one that leaves ends, and another starts at its address. */
	@Test
	void theNextUpstreamAtAnAddressIsNotTheOneThatHasLeft() {
		this.directory.unavailability().onDraining("a", 10);
		assertEquals(candidates(20), List.of("b"));
		this.directory.remove("a", 30);
		this.directory.put(UpstreamEntry.builder("c", "s").location(new Address("10.0.0.1", 'a'), "d").slots(4).build(),
				40);
		assertEquals(candidates(50), List.of("b", "c"));
	}

	@DataProvider
	static Object[][] words() {
		return new Object[][] { { true }, { false } };
	}

	/** Pattern: the store forgets that one drains, and lists it as ready again. */
	@Test(dataProvider = "words")
	void anEntryThatComesBackAsReadyDoesNotTakeTheLeavingBack(boolean byEntry) {
		if (byEntry) {
			this.directory.put(entry("a", true), 10);
		}
		else {
			this.directory.unavailability().onDraining("a", 10);
		}
		this.directory.remove("a", 20);
		this.directory.put(entry("a", false), 30);
		assertEquals(candidates(40), List.of("b"));
	}

	@Test
	void theRestingGetNothingUntilTheirRestIsOver() {
		this.directory.unavailability().onBackoff("a", 1_000, 0);
		assertEquals(candidates(999), List.of("b"));
		assertEquals(candidates(1_000), List.of("a", "b"));
	}

	/** Pattern: all rest, or cannot be reached: those that rest are not tried instead. */
	@Test
	void whereTheOthersCannotBeReachedTheRestingGetNothingAllTheSame() {
		this.directory.unavailability().onBackoff("a", 1_000, 0);
		state("b").onUnreachable(0);
		assertEquals(candidates(100), List.of("b"));
		this.directory.unavailability().onBackoff("b", 400, 0);
		assertEquals(candidates(100), List.of());
		assertEquals(this.directory.acceptsInMs("s", 100), 300);
	}

	@Test
	void whereAllLeaveNoneWillAcceptRequests() {
		assertEquals(this.directory.acceptsInMs("s", 0), 0);
		this.directory.unavailability().onDraining("a", 0);
		this.directory.put(entry("b", true), 0);
		assertEquals(this.directory.acceptsInMs("s", 0), UnavailabilityRegistry.NEVER);
		assertEquals(this.directory.acceptsInMs("none", 0), UnavailabilityRegistry.NEVER);
	}

}
