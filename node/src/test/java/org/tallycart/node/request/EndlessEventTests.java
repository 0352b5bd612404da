package org.tallycart.node.request;

import java.lang.management.ManagementFactory;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

import com.sun.management.ThreadMXBean;
import org.tallycart.http.event.HeldBytes;
import org.tallycart.http.event.MessageLimits;
import org.tallycart.http.event.ReceiveLimits;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests for {@link EventSplitter} with events that are large or have no end.
 */
public class EndlessEventTests {

	private static final int PART_BYTES = 8 << 10;

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
		EventSplitter splitter = new EventSplitter(Optional.empty(),
				new ReceiveLimits(MessageLimits.builder().eventBytes(8 << 20).build(), new HeldBytes(64 << 20)),
				(exceeded) -> {
					throw new IllegalStateException(exceeded.toString());
				});
		AtomicInteger received = new AtomicInteger();
		byte[] part = part();
		int sent = 4 << 20;
		long before = allocatedBytes();
		for (int i = 0; i < sent; i += PART_BYTES) {
			splitter.receive(part, (events) -> received.addAndGet(events.length));
		}
		splitter.receive(new byte[] { '\n', '\n' }, (events) -> received.addAndGet(events.length));
		long allocated = allocatedBytes() - before;
		assertEquals(received.get(), sent + 2);
		assertTrue(allocated < 8L * sent, allocated + " bytes were allocated");
	}

}
