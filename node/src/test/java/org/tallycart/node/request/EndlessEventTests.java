package org.tallycart.node.request;

import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

import com.sun.management.ThreadMXBean;
import org.tallycart.http.event.HeldBytes;
import org.tallycart.http.event.LimitExceeded;
import org.tallycart.http.event.MessageLimit;
import org.tallycart.http.event.MessageLimits;
import org.tallycart.http.event.ReceiveLimits;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests for {@link EventSplitter} with events that are large or have no end.
 */
public class EndlessEventTests {

	private static final int PART_BYTES = 8 << 10;

	private final List<LimitExceeded> exceeded = new ArrayList<>();

	private EventSplitter splitter(int eventBytes) {
		this.exceeded.clear();
		return new EventSplitter(Optional.empty(),
				new ReceiveLimits(MessageLimits.builder().eventBytes(eventBytes).build(),
						new HeldBytes(Long.MAX_VALUE)),
				this.exceeded::add);
	}

	private static byte[] part() {
		byte[] part = new byte[PART_BYTES];
		Arrays.fill(part, (byte) 'x');
		return part;
	}

	private static long allocatedBytes() {
		return ((ThreadMXBean) ManagementFactory.getThreadMXBean()).getCurrentThreadAllocatedBytes();
	}

	// Guards against an event loop that is held by copying what has been received of an
	// event for each of its parts.
	@Test
	void theWorkForALargeEventIsLinear() {
		EventSplitter splitter = splitter(32 << 20);
		AtomicInteger received = new AtomicInteger();
		byte[] part = part();
		int sent = 16 << 20;
		long before = allocatedBytes();
		for (int i = 0; i < sent; i += PART_BYTES) {
			splitter.receive(part, (events) -> received.addAndGet(events.length));
		}
		splitter.receive(new byte[] { '\n', '\n' }, (events) -> received.addAndGet(events.length));
		long allocated = allocatedBytes() - before;
		assertEquals(received.get(), sent + 2);
		assertEquals(this.exceeded, List.of());
		assertTrue(allocated < 8L * sent, allocated + " bytes were allocated");
	}

	@Test
	void anEndlessEventExceedsTheLimitAndEventsBeforeItAreForwarded() {
		EventSplitter splitter = splitter(1 << 20);
		StringBuilder forwarded = new StringBuilder();
		byte[] begin = "id: 1\ndata: a\n\nid: 2\ndata: ".getBytes(StandardCharsets.UTF_8);
		splitter.receive(begin, (events) -> forwarded.append(new String(events, StandardCharsets.UTF_8)));
		int sent = 0;
		while (this.exceeded.isEmpty() && sent < 16 << 20) {
			splitter.receive(part(), (events) -> forwarded.append("more"));
			sent += PART_BYTES;
		}
		splitter.receive("\n\n".getBytes(StandardCharsets.UTF_8), (events) -> forwarded.append("more"));
		assertEquals(forwarded.toString(), "id: 1\ndata: a\n\n");
		assertEquals(splitter.lastId(), Optional.of("1"));
		assertEquals(this.exceeded.size(), 1);
		assertEquals(this.exceeded.get(0).limit(), MessageLimit.EVENT_BYTES);
	}

	@DataProvider
	static Object[][] borders() {
		return new Object[][] { { 100, true }, { 101, false } };
	}

	// The limit of 100 bytes includes the comment before the event.
	@Test(dataProvider = "borders")
	void anEventOfExactlyTheLimitIsForwardedAndOneByteMoreExceedsIt(int bytes, boolean forwarded) {
		String comment = ": c\n\n";
		String event = "data: " + "x".repeat(bytes - comment.length() - 8) + "\n\n";
		String text = "data: first\n\n" + comment + event;
		for (int partBytes : new int[] { 1, 7, text.length() }) {
			EventSplitter splitter = splitter(100);
			StringBuilder all = new StringBuilder();
			byte[] sent = text.getBytes(StandardCharsets.UTF_8);
			for (int from = 0; from < sent.length; from += partBytes) {
				splitter.receive(Arrays.copyOfRange(sent, from, Math.min(from + partBytes, sent.length)),
						(events) -> all.append(new String(events, StandardCharsets.UTF_8)));
			}
			assertEquals(all.toString().endsWith(event), forwarded, "parts of " + partBytes);
			assertTrue(all.toString().startsWith("data: first\n\n"));
			assertEquals(this.exceeded.isEmpty(), forwarded);
		}
	}

	@Test
	void onlyWholeEventsWithAFieldAreProgress() {
		EventSplitter splitter = splitter(100);
		List<Boolean> progress = new ArrayList<>();
		for (String part : List.of("data", ": a\n\n", ": comment\n\n", "\n", ": c\nid: 2\n\n: d\n\n", "x")) {
			splitter.receive(part.getBytes(StandardCharsets.UTF_8), (events) -> {
			});
			progress.add(splitter.hasProgressed());
		}
		assertEquals(progress, List.of(false, true, false, false, true, false));
	}

	// The parts of a stream do not change what is forwarded of it.
	@Test
	void randomPartsAreSplitAsTheWhole() {
		Random random = new Random(77);
		String[] pieces = { "\n", "\r\n", "id: 7", "id:8", "data: a", ": c", "x", "\r" };
		for (int round = 0; round < 2_000; round++) {
			StringBuilder text = new StringBuilder();
			for (int i = random.nextInt(20); i >= 0; i--) {
				text.append(pieces[random.nextInt(pieces.length)]);
			}
			byte[] sent = text.toString().getBytes(StandardCharsets.UTF_8);
			EventSplitter whole = splitter(1_000);
			StringBuilder expected = new StringBuilder();
			whole.receive(sent, (events) -> expected.append(new String(events, StandardCharsets.UTF_8)));
			EventSplitter parts = splitter(1_000);
			StringBuilder actual = new StringBuilder();
			int from = 0;
			while (from < sent.length) {
				int to = Math.min(sent.length, from + 1 + random.nextInt(4));
				parts.receive(Arrays.copyOfRange(sent, from, to),
						(events) -> actual.append(new String(events, StandardCharsets.UTF_8)));
				from = to;
			}
			expected.append(new String(whole.takeRemainder(), StandardCharsets.UTF_8));
			actual.append(new String(parts.takeRemainder(), StandardCharsets.UTF_8));
			assertEquals(actual.toString(), text.toString());
			assertEquals(expected.toString(), text.toString());
			assertEquals(parts.lastId(), whole.lastId(), text.toString());
			assertFalse(!this.exceeded.isEmpty());
		}
	}

}
