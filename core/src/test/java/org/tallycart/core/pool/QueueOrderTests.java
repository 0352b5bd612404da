package org.tallycart.core.pool;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.tallycart.core.serving.PoolSpec;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests for the order of a pool's queue. A call of one piece takes 220 ms, a full one of
 * four 280 ms; there is one worker.
 */
public class QueueOrderTests {

	private static final PoolSpec SPEC = new PoolSpec(1, 2, 4, 200, 20, 10_000_000, 4_000);

	@DataProvider
	static Object[][] queues() {
		return new Object[][] {
				{ "all can be on time: needed first, first", List.of("a 2 400", "b 0 900", "c 1 600"), "a c b" },
				{ "no call can make it: last", List.of("late 0 100", "a 2 400", "b 1 900"), "a b late" },
				{ "more than a call of the same rank: the last one needed gives way",
						List.of("a 1 290", "b 1 291", "c 1 292", "d 1 293", "e 1 294"), "a b c d e" },
				{ "a burst of urgent work: the least urgent gives way though it is needed first",
						List.of("x 2 285", "a 0 290", "b 0 290", "c 0 290", "d 0 290"), "a b c d x" },
				{ "what gave way is made in order of rank",
						List.of("x 2 285", "y 1 285", "a 0 290", "b 0 290", "c 0 290", "d 0 290"), "a b c d y x" },
				{ "urgent work that is late itself does not push others out",
						List.of("late 0 100", "a 2 285", "b 2 285", "c 2 285", "d 2 285"), "a b c d late" } };
	}

	@Test(dataProvider = "queues")
	void theOrderIs(String pattern, List<String> queue, String expected) {
		List<PendingPiece> waiting = new ArrayList<>();
		for (String each : queue) {
			String[] words = each.split(" ");
			PieceJob job = PieceJob.builder(new PieceId(words[0], 0, 0), "pool")
				.dueBy(Long.parseLong(words[2]), 9_000)
				.priority(Integer.parseInt(words[1]))
				.build();
			waiting.add(new PendingPiece(job, (id, outcome) -> {
			}));
		}
		List<String> ordered = new QueueOrder(SPEC, 1, 0).of(waiting)
			.stream()
			.map((each) -> each.job().id().requestId())
			.toList();
		assertEquals(ordered, Arrays.asList(expected.split(" ")), pattern);
	}

	/** Two seconds of work are late, in a pool of one worker with 14 pieces a second. */
	@Test
	void beyondASecondOfLateWorkTheLeastUrgentThatIsNotBegunIsTooMuch() {
		List<PendingPiece> waiting = new ArrayList<>();
		for (int i = 0; i < 14; i++) {
			waiting.add(late("urgent" + i, 1, List.of()));
			waiting.add(late("other" + i, 2, List.of()));
		}
		waiting.add(late("begun", 2, List.of("m/1")));
		List<String> tooMuch = new QueueOrder(SPEC, 1, 0).tooMuch(waiting)
			.stream()
			.map((each) -> each.job().id().requestId())
			.toList();
		assertEquals(tooMuch.size(), 14);
		assertTrue(tooMuch.stream().allMatch((request) -> request.startsWith("other")), tooMuch.toString());
		assertEquals(new QueueOrder(SPEC, 3, 0).tooMuch(waiting), List.of(), "three workers have time for it");
	}

	private static PendingPiece late(String request, int rank, List<String> inputs) {
		PieceJob job = PieceJob.builder(new PieceId(request, 0, 0), "pool")
			.source("k", inputs)
			.dueBy(10, 9_000)
			.priority(rank)
			.build();
		return new PendingPiece(job, (id, outcome) -> {
		});
	}

}
