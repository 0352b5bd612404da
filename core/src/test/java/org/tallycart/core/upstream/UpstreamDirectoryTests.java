package org.tallycart.core.upstream;

import java.util.List;
import java.util.Optional;
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
 * Tests for {@link UpstreamDirectory}.
 */
public class UpstreamDirectoryTests {

	private static final long HEARTBEAT_MS = 1_200;

	private UpstreamDirectory directory = new UpstreamDirectory(HEARTBEAT_MS);

	@BeforeMethod
	void setUp() {
		this.directory = new UpstreamDirectory(HEARTBEAT_MS);
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

	// Guards against ejected upstreams of the required software version giving way to
	// usable ones of another.
	@Test
	void aRequiredSoftwareVersionExcludesAllOthers() {
		this.directory.put(UpstreamEntry.builder("c", "s").softwareVersion("v2").build(), 0);
		this.directory.candidates("s", Optional.of("v2"), 0).get(0).onUnreachable(0);
		assertEquals(this.directory.candidates("s", Optional.of("v2"), 10).size(), 1);
		assertEquals(this.directory.candidates("s", Optional.of("v3"), 10), List.of());
		assertEquals(this.directory.acceptsInMs("s", Optional.of("v3"), 10), UnavailabilityRegistry.NEVER);
	}

	// Guards against a stream that begins at a version of which another VM does not know
	// yet, and goes on there at a version that it knows.
	@Test
	void streamsBeginAtVersionsThatAllVmsKnow() {
		this.directory.put(UpstreamEntry.builder("c", "s").softwareVersion("v2").build(), 10_000);
		assertEquals(idsForNewStreams(10_000), List.of("a", "b"));
		assertEquals(idsForNewStreams(12_499), List.of("a", "b"));
		assertEquals(idsForNewStreams(12_500), List.of("a", "b", "c"));
		assertEquals(candidates(10_000), List.of("a", "b", "c"));
	}

	// Guards against callers that are refused while the only upstreams are new.
	@Test
	void streamsBeginAtANewVersionIfThereIsNoOther() {
		this.directory.put(UpstreamEntry.builder("c", "s").softwareVersion("v2").build(), 10_000);
		this.directory.put(entry("a", true), 10_100);
		this.directory.remove("b", 10_100);
		assertEquals(idsForNewStreams(10_200), List.of("c"));
	}

	private List<String> idsForNewStreams(long nowMs) {
		return this.directory.candidatesForNewStreams("s", nowMs)
			.stream()
			.map((state) -> state.entry().id())
			.sorted()
			.toList();
	}

	@Test
	void drainingAndRemovedUpstreamsAreNoCandidates() {
		this.directory.put(entry("a", true), 50);
		assertEquals(candidates(0), List.of("b"));
		this.directory.remove("b", 0);
		assertEquals(candidates(0), List.of());
		assertFalse(this.directory.ids().contains("b"));
	}

	// Guards against new requests at an upstream that is silent, and against one that
	// stays out although it has gone on.
	@Test
	void aSilentUpstreamGetsNoNewRequestsUntilItIsHeard() {
		state("a").onHeard(1_000);
		state("a").onSilent(1_000, 2_000);
		assertEquals(candidates(2_001), List.of("b"));
		assertEquals(state("a").errorRate(), 0.0);
		assertEquals(state("a").onHeard(2_200), 1_200);
		assertEquals(candidates(2_201), List.of("a", "b"));
	}

	// Guards against upstreams that count as silent since one of their requests waits,
	// while they answer others.
	@Test
	void anUpstreamThatAnswersOtherRequestsIsNotSilent() {
		state("a").onHeard(1_500);
		state("a").onSilent(1_000, 2_000);
		assertEquals(candidates(2_001), List.of("a", "b"));
	}

	// Guards against a service without upstreams, since all are silent at once.
	@Test
	void silentUpstreamsGetNewRequestsWhileThereAreNoOthers() {
		state("a").onSilent(1_000, 2_000);
		state("b").onSilent(1_000, 2_000);
		assertEquals(candidates(2_001), List.of("a", "b"));
	}

	// Guards against an upstream that no request tries any more, since it was silent
	// once.
	@Test
	void aSilentUpstreamIsTriedAgainOnceNoRequestWaits() {
		state("a").onSilent(1_000, 2_000);
		assertEquals(candidates(2_500), List.of("b"));
		assertEquals(candidates(3_500), List.of("a", "b"));
	}

	@Test
	void anUnreachableUpstreamIsEjectedForSomeTime() {
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
	void ifAllUpstreamsAreUnreachableAllAreCandidates() {
		this.directory.activeUpstreams("s").forEach((state) -> state.onUnreachable(0));
		assertEquals(candidates(100), List.of("a", "b"));
	}

	@Test
	void entriesThatVanishInAnOutageAreKeptForTheGracePeriod() {
		this.directory.onStoreAvailable(0, 0);
		this.directory.remove("a", 4_000);
		this.directory.onStoreAvailable(5_000, 5_000);
		this.directory.replace(List.of(entry("b", false)), 5_000);
		assertEquals(this.directory.expireVanished(7_000), Set.of());
		assertEquals(candidates(7_000), List.of("a", "b"));
		assertEquals(this.directory.expireVanished(7_300), Set.of("a"));
		assertEquals(candidates(7_300), List.of("b"), "still missing: gone");
	}

	@DataProvider
	static Object[][] silences() {
		return new Object[][] { { 2 * HEARTBEAT_MS - 1, List.of("b") }, { 2 * HEARTBEAT_MS, List.of("a", "b") } };
	}

	// Guards against requests to an upstream that has left, after a VM has changed its
	// source of the list, and against a service without upstreams after an outage that
	// no call of a VM has met.
	@Test(dataProvider = "silences")
	void onlyEntriesThatMayHaveExpiredAreKept(long silenceMs, List<String> expected) {
		this.directory.onStoreAvailable(0, 0);
		this.directory.onStoreAvailable(silenceMs, silenceMs + 5);
		this.directory.replace(List.of(entry("b", false)), silenceMs + 5);
		assertEquals(candidates(silenceMs + 5), expected);
	}

	// Guards against a VM that starts, and counts the time before as an outage.
	@Test
	void theFirstContactStartsNoGracePeriod() {
		this.directory.onStoreAvailable(9_000, 9_000);
		this.directory.remove("a", 9_000);
		assertEquals(candidates(9_000), List.of("b"));
	}

	// Guards against a grace period for each of two calls whose replies overtake each
	// other.
	@Test
	void anEarlierCallThatIsAnsweredLateChangesNothing() {
		this.directory.onStoreAvailable(5_000, 5_000);
		this.directory.onStoreAvailable(1_000, 5_100);
		this.directory.onStoreAvailable(6_000, 6_000);
		assertEquals(this.directory.remainingGraceMs(6_000), 0);
	}

	/**
	 * Results have to be released at an upstream that is in use, or its result memory
	 * fills up.
	 */
	@Test
	void anUpstreamThatVanishedInAnOutageIsFoundByItsAddress() {
		this.directory.onStoreAvailable(0, 0);
		this.directory.remove("a", 4_000);
		assertEquals(this.directory.findByAddress(entry("a", false).address()).orElseThrow().entry().id(), "a");
		this.directory.put(UpstreamEntry.builder("next", "s").location(entry("a", false).address(), "d").build(),
				4_100);
		assertEquals(this.directory.findByAddress(entry("a", false).address()).orElseThrow().entry().id(), "next");
	}

	@Test
	void anEntryThatReturnsBelongsToTheSameUpstream() {
		this.directory.onStoreAvailable(0, 0);
		this.directory.remove("a", 4_000);
		this.directory.onStoreAvailable(5_000, 5_000);
		this.directory.put(entry("a", false), 5_000);
		this.directory.expireVanished(9_000);
		assertEquals(candidates(9_000), List.of("a", "b"));
	}

	@Test
	void aDrainingUpstreamThatVanishesInAnOutageIsRemoved() {
		this.directory.onStoreAvailable(0, 0);
		this.directory.put(entry("a", true), 50);
		this.directory.remove("a", 4_000);
		assertEquals(candidates(4_000), List.of("b"));
		assertTrue(this.directory.findByAddress(new Address("10.0.0.1", 'a')).isEmpty());
	}

	/** Entries that expired in an outage may be swept some time after it. */
	@Test
	void entriesThatVanishSoonAfterAnOutageAreKept() {
		this.directory.onStoreAvailable(0, 0);
		assertEquals(this.directory.remainingGraceMs(1_000), 0);
		this.directory.onStoreAvailable(5_000, 5_000);
		assertEquals(this.directory.remainingGraceMs(6_000), 1_200);
		this.directory.remove("a", 6_000);
		this.directory.onStoreAvailable(7_000, 7_000);
		this.directory.expireVanished(7_100);
		assertEquals(candidates(7_100), List.of("a", "b"));
		this.directory.expireVanished(7_200);
		assertEquals(candidates(7_200), List.of("b"));
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
	void aStaleEntryFromBeforeARestartIsIgnored() {
		this.directory.put(started(2_000), 10);
		UpstreamState present = state("a");
		this.directory.put(started(1_000), 20);
		assertSame(state("a"), present);
		assertEquals(present.entry().startedMs().getAsLong(), 2_000);
	}

	/** A valid entry is overwritten by an invalid one during an outage of the store. */
	@Test
	void anUpstreamWithAnInvalidEntryIsNotUsedInAnOutage() {
		this.directory.onStoreAvailable(0, 0);
		this.directory.removeInvalid("a", 4_000);
		assertEquals(candidates(4_000), List.of("b"));
		this.directory.remove("b", 4_100);
		assertEquals(candidates(4_100), List.of("b"));
		this.directory.removeInvalid("b", 4_200);
		assertEquals(candidates(4_200), List.of(), "kept as vanished until then");
	}

	/** A failure domain is evacuated and the evacuation is withdrawn. */
	@Test
	void upstreamsOfAnEvacuatedFailureDomainAreNoCandidates() {
		this.directory.put(UpstreamEntry.builder("far", "s").location(new Address("10.0.0.2", 1), "other").build(), 0);
		this.directory.setEvacuatedDomains(Set.of("d"));
		assertEquals(candidates(0), List.of("far"));
		this.directory.setEvacuatedDomains(Set.of("d", "other"));
		assertEquals(candidates(0), List.of(), "not even where no other is left");
		this.directory.setEvacuatedDomains(Set.of());
		assertEquals(candidates(0), List.of("a", "b", "far"));
	}

	// Guards against connections to upstreams that drain or are evacuated.
	@Test
	void drainingAndEvacuatedUpstreamsAreNotConnectable() {
		this.directory.put(entry("a", true), 50);
		assertEquals(this.directory.connectableEntries(), List.of(entry("b", false)));
		this.directory.setEvacuatedDomains(Set.of("d"));
		assertEquals(this.directory.connectableEntries(), List.of());
	}

	@Test
	void thereAreNoCandidatesBeforeEvacuationsAreLoaded() {
		this.directory.expectEvacuations();
		assertFalse(this.directory.isLoaded());
		assertEquals(candidates(0), List.of());
		this.directory.setEvacuatedDomains(Set.of());
		assertTrue(this.directory.isLoaded());
		assertEquals(candidates(0), List.of("a", "b"));
	}

	@Test
	void anUpstreamIsColdForTheTimeInItsEntryAndMayTurnColdAgain() {
		this.directory.put(UpstreamEntry.builder("a", "s").coldMs(3_000).build(), 1_000);
		assertTrue(state("a").isCold(3_900));
		this.directory.put(UpstreamEntry.builder("a", "s").coldMs(3_000).build(), 3_500);
		assertFalse(state("a").isCold(4_100), "an entry that is read again is no news");
		this.directory.put(UpstreamEntry.builder("a", "s").coldMs(0).build(), 4_100);
		this.directory.put(UpstreamEntry.builder("a", "s").coldMs(2_500).build(), 5_000);
		assertEquals(state("a").remainingColdMs(5_500), 2_000);
	}

	/** A draining upstream stops, and another one starts at its address. */
	@Test
	void anAddressReusedByAnotherUpstreamIsNotDraining() {
		this.directory.unavailability().onDraining("a", 10);
		assertEquals(candidates(20), List.of("b"));
		this.directory.remove("a", 30);
		this.directory.put(UpstreamEntry.builder("c", "s").location(new Address("10.0.0.1", 'a'), "d").slots(4).build(),
				40);
		assertEquals(candidates(50), List.of("b", "c"));
	}

	@DataProvider
	static Object[][] drainingSources() {
		return new Object[][] { { true }, { false } };
	}

	/** A rollback of the store lists a draining upstream as ready again. */
	@Test(dataProvider = "drainingSources")
	void anEntryThatReturnsAsReadyDoesNotRevokeDraining(boolean byEntry) {
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
	void anUpstreamIsNoCandidateDuringItsBackoff() {
		this.directory.unavailability().onBackoff("a", 1_000, 0);
		assertEquals(candidates(999), List.of("b"));
		assertEquals(candidates(1_000), List.of("a", "b"));
	}

	/** All upstreams are backing off or unreachable. */
	@Test
	void backoffAppliesAlsoIfTheOthersAreUnreachable() {
		this.directory.unavailability().onBackoff("a", 1_000, 0);
		state("b").onUnreachable(0);
		assertEquals(candidates(100), List.of("b"));
		this.directory.unavailability().onBackoff("b", 400, 0);
		assertEquals(candidates(100), List.of());
		assertEquals(this.directory.acceptsInMs("s", Optional.empty(), 100), 300);
	}

	@Test
	void ifAllUpstreamsDrainNoneAcceptsRequests() {
		assertEquals(this.directory.acceptsInMs("s", Optional.empty(), 0), 0);
		this.directory.unavailability().onDraining("a", 0);
		this.directory.put(entry("b", true), 0);
		assertEquals(this.directory.acceptsInMs("s", Optional.empty(), 0), UnavailabilityRegistry.NEVER);
		assertEquals(this.directory.acceptsInMs("none", Optional.empty(), 0), UnavailabilityRegistry.NEVER);
	}

}
