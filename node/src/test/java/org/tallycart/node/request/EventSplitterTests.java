package org.tallycart.node.request;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.tallycart.http.event.HeldBytes;
import org.tallycart.http.event.MessageLimits;
import org.tallycart.http.event.ReceiveLimits;
import org.tallycart.http.event.ReplyEnd;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Tests for {@link EventSplitter}.
 */
public class EventSplitterTests {

	private final List<String> events = new ArrayList<>();

	private EventSplitter splitter(Optional<String> lastId) {
		return new EventSplitter(lastId,
				new ReceiveLimits(MessageLimits.builder().build(), new HeldBytes(Long.MAX_VALUE)), (exceeded) -> {
					throw new IllegalStateException(exceeded.toString());
				});
	}

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
		EventSplitter splitter = splitter(Optional.empty());
		String first = "id: 1" + end + "data: a" + end + end;
		String second = "id: 2" + end + "data: b" + end + end;
		receive(splitter, first + "id: 2" + end);
		assertEquals(this.events, List.of(first));
		assertEquals(splitter.lastId(), Optional.of("1"));
		receive(splitter, "data: b" + end + end + "id: 3" + end + "dat");
		assertEquals(this.events, List.of(first, second));
		assertEquals(splitter.lastId(), Optional.of("2"));
		assertEquals(splitter.incompleteReason(ReplyEnd.FRAMED), Optional.of("the stream ended within an event"));
	}

	@Test
	void lastIdIsInitiallyTheCallersLastEventId() {
		assertEquals(splitter(Optional.of("12")).lastId(), Optional.of("12"));
	}

	@DataProvider
	static Object[][] ends() {
		String within = "the stream ended within an event";
		String without = "the stream ended before its first event";
		return new Object[][] { { "data: a\n\n", ReplyEnd.INPUT_CLOSED, "" }, { "data: a\n\n", ReplyEnd.FRAMED, "" },
				{ "data: a\n\ndata", ReplyEnd.INPUT_CLOSED, within }, { "data: a\n\ndata", ReplyEnd.FRAMED, within },
				{ "data: a\n\ndata: b\n", ReplyEnd.FRAMED, within }, { "data: a\n", ReplyEnd.INPUT_CLOSED, within },
				{ "", ReplyEnd.INPUT_CLOSED, without }, { "", ReplyEnd.FRAMED, "" },
				{ ": comment\n", ReplyEnd.INPUT_CLOSED, without }, { ": comment\n\n", ReplyEnd.INPUT_CLOSED, without },
				{ "\n\n", ReplyEnd.INPUT_CLOSED, without }, { "data: a\n\n: comment\n\r\n", ReplyEnd.FRAMED, "" },
				{ "data: a\n\n: comment\nid: 2", ReplyEnd.INPUT_CLOSED, within } };
	}

	// Guards against a stream that was broken off and is taken as complete.
	@Test(dataProvider = "ends")
	void onlyAStreamThatEndsBetweenEventsIsComplete(String stream, ReplyEnd end, String reason) {
		EventSplitter splitter = splitter(Optional.empty());
		receive(splitter, stream);
		assertEquals(splitter.incompleteReason(end).orElse(""), reason);
	}

	@Test
	void remainderHoldsBytesAfterTheLastEvent() {
		EventSplitter splitter = splitter(Optional.empty());
		receive(splitter, "data: a\n\ntail");
		assertEquals(new String(splitter.takeRemainder(), StandardCharsets.UTF_8), "tail");
	}

}
