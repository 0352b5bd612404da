package org.tallycart.core.upstream;

import java.util.List;

import org.tallycart.core.ini.Address;
import org.tallycart.core.serving.UpstreamEntry;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
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
		return new UpstreamEntry(id, "s", new Address("10.0.0.1", id.charAt(0)), "d", 4, draining);
	}

	private List<String> candidates(long nowMs) {
		return this.directory.candidates("s", nowMs).stream().map((state) -> state.entry().id()).sorted().toList();
	}

	@Test
	void drainingAndRemovedUpstreamsAreNoCandidates() {
		this.directory.put(entry("a", true));
		assertEquals(candidates(0), List.of("b"));
		this.directory.remove("b", 0);
		assertEquals(candidates(0), List.of());
		assertFalse(this.directory.ids().contains("b"));
	}

	@Test
	void anUnreachableUpstreamIsLeftOutForAWhile() {
		this.directory.all("s")
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
		this.directory.all("s").forEach((state) -> state.onUnreachable(0));
		assertEquals(candidates(100), List.of("a", "b"));
	}

	@Test
	void entriesThatLapseInAnOutageAreKeptUntilTheyShouldBeBack() {
		this.directory.onStoreLost();
		this.directory.remove("a", 100);
		this.directory.onStoreBack(1_000);
		this.directory.replace(List.of(entry("b", false)), 1_000);
		this.directory.tick(3_000);
		assertEquals(candidates(3_000), List.of("a", "b"));
		this.directory.tick(3_300);
		assertEquals(candidates(3_300), List.of("b"), "still missing: gone");
	}

	/** Its results have to be given back while it is used, or its room fills up. */
	@Test
	void anUpstreamWhoseEntryLapsedInAnOutageIsFoundByItsAddress() {
		this.directory.onStoreLost();
		this.directory.remove("a", 100);
		assertEquals(this.directory.at(entry("a", false).address()).orElseThrow().entry().id(), "a");
		this.directory.put(new UpstreamEntry("next", "s", entry("a", false).address(), "d", 4, false));
		assertEquals(this.directory.at(entry("a", false).address()).orElseThrow().entry().id(), "next");
	}

	@Test
	void anEntryThatIsBackIsTheSameUpstream() {
		this.directory.onStoreLost();
		this.directory.remove("a", 100);
		this.directory.onStoreBack(1_000);
		this.directory.put(entry("a", false));
		this.directory.tick(9_000);
		assertEquals(candidates(9_000), List.of("a", "b"));
	}

	@Test
	void aDrainingUpstreamThatVanishesInAnOutageIsGone() {
		this.directory.put(entry("a", true));
		this.directory.onStoreLost();
		this.directory.remove("a", 100);
		assertEquals(candidates(100), List.of("b"));
		assertTrue(this.directory.at(new Address("10.0.0.1", 'a')).isEmpty());
	}

	@Test
	void whatAnotherVmSaysOfAnOutageKeepsVanishedEntriesForThatTime() {
		assertEquals(this.directory.untrustedMs(0), 0);
		this.directory.distrustUntil(1_500);
		assertEquals(this.directory.untrustedMs(1_000), 500);
		this.directory.remove("a", 1_000);
		this.directory.tick(1_400);
		assertEquals(candidates(1_400), List.of("a", "b"));
		this.directory.tick(1_500);
		assertEquals(candidates(1_500), List.of("b"));
	}

}
