package org.tallycart.runtime.event;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

import org.tallycart.core.time.HybridClock;
import org.tallycart.core.time.HybridTimestamp;
import org.tallycart.runtime.process.Clocks;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests for {@link EventCode} and {@link EventLog}.
 */
public class EventCatalogueTests {

	@Test
	void documentationListsExactlyTheEventCodes() throws IOException {
		List<String> rows = Files.readAllLines(Path.of("../docs/events.md"))
			.stream()
			.filter((line) -> line.startsWith("| TC"))
			.toList();
		List<String> expected = Arrays.stream(EventCode.values())
			.map((code) -> "| " + code.code() + " | " + code + " | " + code.level() + " | " + code.meaning() + " |")
			.toList();
		assertEquals(rows, expected);
	}

	@Test
	void codesAreUnique() {
		long distinct = Arrays.stream(EventCode.values()).map(EventCode::code).distinct().count();
		assertEquals(distinct, EventCode.values().length);
	}

	@Test
	void eventsAreOrderedAfterReceivedTimestamps() {
		HybridClock clock = new HybridClock();
		EventLog log = EventLog.create("p", 2, clock, Clocks.SYSTEM);
		log.emit(EventCode.REQUEST_ARRIVED, "r1", "a");
		HybridTimestamp ahead = new HybridTimestamp(Clocks.SYSTEM.wallMs() + 60_000, 7);
		clock.receive(ahead, Clocks.SYSTEM.wallMs());
		log.emit(EventCode.REQUEST_ENDED, "r1", "b");
		log.emit(EventCode.REQUEST_ARRIVED, "r2", "c");
		List<Event> kept = log.events("");
		assertEquals(kept.size(), 2, "only the latest are kept");
		assertTrue(kept.get(0).at().compareTo(ahead) > 0);
		assertTrue(kept.get(1).at().compareTo(kept.get(0).at()) > 0);
		assertEquals(log.events("r2").size(), 1);
		assertEquals(HybridTimestamp.ofPacked(ahead.packed()), ahead);
	}

}
