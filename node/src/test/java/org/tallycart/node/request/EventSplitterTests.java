package org.tallycart.node.request;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Tests for {@link EventSplitter}.
 */
public class EventSplitterTests {

	private final List<String> events = new ArrayList<>();

	private void receive(EventSplitter splitter, String text) {
		splitter.receive(text.getBytes(StandardCharsets.UTF_8),
				(complete) -> this.events.add(new String(complete, StandardCharsets.UTF_8)));
	}

	@DataProvider
	static Object[][] lineEnds() {
		return new Object[][] { { "\n" }, { "\r\n" } };
	}

	@Test(dataProvider = "lineEnds")
	void forwardsOnlyCompleteEvents(String end) {
		this.events.clear();
		EventSplitter splitter = new EventSplitter(Optional.empty());
		String first = "id: 1" + end + "data: a" + end + end;
		String second = "id: 2" + end + "data: b" + end + end;
		receive(splitter, first + "id: 2" + end);
		assertEquals(this.events, List.of(first));
		assertEquals(splitter.lastId(), Optional.of("1"));
		receive(splitter, "data: b" + end + end + "id: 3" + end + "dat");
		assertEquals(this.events, List.of(first, second));
		assertEquals(splitter.lastId(), Optional.of("2"));
		splitter.dropPartial();
		assertEquals(splitter.takeRemainder().length, 0);
	}

	@Test
	void lastIdIsInitiallyTheCallersLastEventId() {
		assertEquals(new EventSplitter(Optional.of("12")).lastId(), Optional.of("12"));
	}

	@Test
	void remainderHoldsBytesAfterTheLastEvent() {
		EventSplitter splitter = new EventSplitter(Optional.empty());
		receive(splitter, "data: a\n\ntail");
		assertEquals(new String(splitter.takeRemainder(), StandardCharsets.UTF_8), "tail");
	}

}
