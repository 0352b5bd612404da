package org.tallycart.core.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.tallycart.core.ini.Address;
import org.tallycart.core.serving.PoolSpec;
import org.tallycart.core.serving.UpstreamEntry;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests for {@link PoolDispatcher}.
 */
public class PoolDispatcherTests {

	private static final PoolSpec SPEC = new PoolSpec(1, 2, 4, 200, 20, 10_000_000, 4_000);

	private static final long SMALL = 8_000;

	private static final long LARGE = 1_500_000;

	private final Map<PieceId, PieceOutcome> received = new HashMap<>();

	private PoolDispatcher dispatcher = new PoolDispatcher(SPEC);

	@BeforeMethod
	void createDispatcher() {
		this.received.clear();
		this.dispatcher = new PoolDispatcher(SPEC);
	}

	private static UpstreamEntry worker(String id, String domain, boolean draining) {
		return UpstreamEntry.builder(id, "pool")
			.location(new Address("10.0.0.1", 1), domain)
			.draining(draining)
			.build();
	}

	private static PieceJob job(String request, int priority, long objectiveMs, String domain, long bytes) {
		return PieceJob.builder(new PieceId(request, 0, 0), "pool")
			.dueBy(objectiveMs, objectiveMs + 5_000)
			.priority(priority)
			.preferredDomain(domain, bytes)
			.result(bytes, false)
			.build();
	}

	private void submit(PieceJob job) {
		this.dispatcher.submit(job, this.received::put);
	}

	private static List<String> requests(Optional<PoolCall> call) {
		return call.orElseThrow().jobs().stream().map((job) -> job.id().requestId()).toList();
	}

	@Test
	void piecesOfManyRequestsShareACall() {
		this.dispatcher.updateWorkers(List.of(worker("w", "d", false)), Set.of());
		for (int i = 0; i < 6; i++) {
			submit(job("r" + i, 0, 3_000 + i, "d", SMALL));
		}
		PoolCall call = this.dispatcher.nextCall(0).orElseThrow();
		assertEquals(call.jobs().size(), SPEC.batch());
		assertTrue(this.dispatcher.nextCall(0).isEmpty(), "the only worker is busy");
		assertEquals(this.dispatcher.onReply(call.number(), completed(call), 280), List.of());
		assertEquals(this.received.size(), SPEC.batch());
		assertEquals(this.dispatcher.nextCall(280).orElseThrow().jobs().size(), 2);
	}

	private static List<PieceOutcome> completed(PoolCall call) {
		return call.jobs().stream().map((job) -> PieceOutcome.completed("w/" + job.id().requestId())).toList();
	}

	@Test
	void latePieceWithLargeInputsPrecedesNewPieceOfSamePriority() {
		this.dispatcher.updateWorkers(List.of(worker("w", "d", false)), Set.of());
		submit(job("new", 1, 40, "d", SMALL));
		submit(PieceJob.builder(new PieceId("begun", 2, 0), "pool")
			.source("", List.of("m/1"))
			.dueBy(50, 5_000)
			.priority(1)
			.preferredDomain("d", LARGE)
			.result(SMALL, false)
			.build());
		assertEquals(requests(this.dispatcher.nextCall(100)), List.of("begun", "new"));
	}

	@Test
	void aPieceWithLargeResultGoesToItsPreferredDomain() {
		this.dispatcher.updateWorkers(List.of(worker("w1", "d1", false), worker("w2", "d2", false)), Set.of());
		submit(job("large", 0, 5_000, "d2", LARGE));
		submit(job("small", 0, 5_000, "d2", SMALL));
		Map<String, List<String>> byWorker = new HashMap<>();
		for (int i = 0; i < 2; i++) {
			this.dispatcher.nextCall(0)
				.ifPresent((call) -> byWorker.put(call.worker().id(), requests(Optional.of(call))));
		}
		assertEquals(byWorker, Map.of("w1", List.of("small"), "w2", List.of("large")));
	}

	@Test
	void aPieceWithoutResultMemoryStaysQueuedUntilItsDeadline() {
		this.dispatcher.updateWorkers(List.of(worker("w", "d", false)), Set.of());
		submit(job("r", 0, 3_000, "d", LARGE));
		long now = 0;
		for (int i = 0; i < 10; i++) {
			PoolCall call = this.dispatcher.nextCall(now).orElseThrow();
			this.dispatcher.onReply(call.number(), List.of(PieceOutcome.notCompleted(PieceOutcome.Status.NO_ROOM)),
					now + 4);
			assertTrue(this.dispatcher.nextCall(now + 5).isEmpty(), "a pause");
			now += 100;
		}
		assertTrue(this.received.isEmpty());
		this.dispatcher.tick(8_000);
		assertEquals(this.received.get(new PieceId("r", 0, 0)).status(), PieceOutcome.Status.LATE);
	}

	@Test
	void aCallDoesNotExceedTheResultMemoryOfItsWorker() {
		this.dispatcher = new PoolDispatcher(new PoolSpec(1, 2, 4, 200, 20, 2 * LARGE, 4_000));
		this.dispatcher.updateWorkers(List.of(worker("w", "d", false)), Set.of());
		for (int i = 0; i < 5; i++) {
			submit(job("r" + i, 0, 9_000, "d", LARGE));
		}
		PoolCall first = this.dispatcher.nextCall(0).orElseThrow();
		assertEquals(first.jobs().size(), 2);
		this.dispatcher.onReply(first.number(), completed(first), 240);
		assertTrue(this.dispatcher.nextCall(240).isEmpty(), "both results are still there");
		this.dispatcher.release(List.of("w/r0"));
		PoolCall second = this.dispatcher.nextCall(300).orElseThrow();
		assertEquals(second.jobs().size(), 1);
		this.dispatcher.onReply(second.number(), completed(second), 520);
		assertEquals(this.dispatcher.nextCall(4_300).orElseThrow().jobs().size(), 1, "the other one has expired");
	}

	@Test
	void colocatedPiecesShareACall() {
		this.dispatcher.updateWorkers(List.of(worker("w1", "d1", false), worker("w2", "d2", false)), Set.of());
		for (int i = 0; i < 3; i++) {
			submit(colocatedJob("a", i));
			submit(colocatedJob("b", i));
		}
		PoolCall first = this.dispatcher.nextCall(0).orElseThrow();
		PoolCall second = this.dispatcher.nextCall(0).orElseThrow();
		assertEquals(new HashSet<>(requests(Optional.of(first))).size(), 1);
		assertEquals(new HashSet<>(requests(Optional.of(second))).size(), 1);
		assertFalse(requests(Optional.of(first)).equals(requests(Optional.of(second))));
	}

	private static PieceJob colocatedJob(String request, int piece) {
		return PieceJob.builder(new PieceId(request, 1, piece), "pool")
			.dueBy(50_000, 90_000)
			.result(SMALL, true)
			.build();
	}

	@DataProvider
	Object[][] groupAndBatchSizes() {
		return new Object[][] { { 6, 10 }, { 6, 11 }, { 5, 8 }, { 10, 16 }, { 25, 16 }, { 3, 5 } };
	}

	@Test(dataProvider = "groupAndBatchSizes")
	void groupsAreSplitToFillMostlyEmptyCallsWhileBacklogged(int group, int batch) {
		this.dispatcher = new PoolDispatcher(new PoolSpec(1, 2, batch, 200, 20, 10_000_000, 4_000));
		this.dispatcher.updateWorkers(List.of(worker("w", "d", false)), Set.of());
		submitGroups(20, group);
		int submitted = 20 * group;
		long now = 0;
		Set<PieceId> completed = new HashSet<>();
		while (completed.size() < submitted) {
			PoolCall call = this.dispatcher.nextCall(now).orElseThrow();
			boolean backlogged = submitted - completed.size() >= 2 * batch;
			assertTrue(call.jobs().size() >= batch * 0.75 || !backlogged, call.jobs().size() + " of " + batch);
			call.jobs().forEach((job) -> assertTrue(completed.add(job.id()), "made once: " + job.id()));
			now += 500;
			this.dispatcher.onReply(call.number(), completed(call), now);
		}
	}

	@Test
	void groupsThatFillMostOfACallAreNotSplitWhileBacklogged() {
		this.dispatcher = new PoolDispatcher(new PoolSpec(1, 2, 14, 200, 12.6, 10_000_000, 4_000));
		this.dispatcher.updateWorkers(List.of(worker("w", "d", false)), Set.of());
		submitGroups(20, 6);
		assertEquals(this.dispatcher.nextCall(0).orElseThrow().jobs().size(), 12);
	}

	@Test
	void groupsAreNotSplitWhileIdleWorkersCanTakeTheQueue() {
		this.dispatcher = new PoolDispatcher(new PoolSpec(1, 2, 10, 200, 17, 10_000_000, 4_000));
		this.dispatcher.updateWorkers(
				List.of(worker("w1", "d", false), worker("w2", "d", false), worker("w3", "d", false)), Set.of());
		submitGroups(3, 6);
		for (int i = 0; i < 3; i++) {
			List<String> requests = requests(this.dispatcher.nextCall(0));
			assertEquals(requests.size(), 6);
			assertEquals(new HashSet<>(requests).size(), 1);
		}
	}

	@Test
	void aGroupLargerThanAWorkersResultMemoryIsSplit() {
		this.dispatcher = new PoolDispatcher(new PoolSpec(1, 2, 4, 200, 20, 6 * SMALL, 4_000));
		this.dispatcher.updateWorkers(List.of(worker("w", "d", false)), Set.of());
		submitGroups(1, 7);
		assertEquals(this.dispatcher.nextCall(0).orElseThrow().jobs().size(), 4);
	}

	private void submitGroups(int groups, int size) {
		for (int i = 0; i < groups; i++) {
			for (int piece = 0; piece < size; piece++) {
				submit(colocatedJob("r" + i, piece));
			}
		}
	}

	@Test
	void aPieceLateInItsPreferredDomainGoesToAnotherDomain() {
		this.dispatcher.updateWorkers(List.of(worker("w1", "d1", false), worker("w2", "d2", false)), Set.of());
		submit(job("busy", 0, 5_000, "d2", LARGE));
		this.dispatcher.nextCall(0);
		submit(job("urgent", 0, 700, "d2", LARGE));
		assertEquals(this.dispatcher.nextCall(0).orElseThrow().worker().id(), "w1");
	}

	@Test
	void aDrainingWorkerGetsNoCall() {
		this.dispatcher.updateWorkers(List.of(worker("w", "d", true)), Set.of());
		submit(job("r", 0, 3_000, "d", SMALL));
		assertTrue(this.dispatcher.nextCall(0).isEmpty());
		assertEquals(this.received.get(new PieceId("r", 0, 0)).status(), PieceOutcome.Status.NO_WORKER);
		this.dispatcher.updateWorkers(List.of(worker("w2", "d", false)), Set.of());
		submit(job("r", 0, 3_000, "d", SMALL));
		assertEquals(this.dispatcher.nextCall(0).orElseThrow().worker().id(), "w2");
	}

	@Test
	void aPieceThatCannotMeetItsDeadlineFailsAsLate() {
		submit(job("r", 0, 0, "d", SMALL));
		this.dispatcher.tick(4_700);
		assertTrue(this.received.isEmpty());
		this.dispatcher.tick(4_800);
		assertEquals(this.received.get(new PieceId("r", 0, 0)).status(), PieceOutcome.Status.LATE);
		assertEquals(this.dispatcher.queueSize(), 0);
	}

	@Test
	void aPieceSubmittedTooLateIsNotSentToAnIdleWorker() {
		this.dispatcher.updateWorkers(List.of(worker("w", "d", false)), Set.of());
		submit(job("r", 0, 0, "d", SMALL));
		assertTrue(this.dispatcher.nextCall(4_900).isEmpty());
		assertEquals(this.received.get(new PieceId("r", 0, 0)).status(), PieceOutcome.Status.LATE);
	}

	@Test
	void piecesOfAnOverdueCallAreRetriedAndTheLateResultIsUnused() {
		this.dispatcher.updateWorkers(List.of(worker("slow", "d", false)), Set.of());
		submit(job("r", 0, 9_000, "d", SMALL));
		PoolCall slow = this.dispatcher.nextCall(0).orElseThrow();
		this.dispatcher.updateWorkers(List.of(worker("slow", "d", false), worker("fast", "d", false)), Set.of());
		this.dispatcher.tick(400);
		assertTrue(this.dispatcher.nextCall(400).isEmpty(), "not overdue yet");
		this.dispatcher.tick(600);
		PoolCall again = this.dispatcher.nextCall(600).orElseThrow();
		assertEquals(again.worker().id(), "fast");
		assertEquals(this.dispatcher.onReply(again.number(), completed(again), 820), List.of());
		assertEquals(this.received.size(), 1);
		assertEquals(this.dispatcher.onReply(slow.number(), completed(slow), 1_500), List.of("w/r"));
	}

	@Test
	void aSlowWorkerGetsNoCallWhileTheOthersCanTakeTheQueue() {
		this.dispatcher.updateWorkers(List.of(worker("slow", "d", false), worker("fast", "d", false)), Set.of());
		submit(job("a", 0, 9_000, "d", SMALL));
		PoolCall first = this.dispatcher.nextCall(0).orElseThrow();
		this.dispatcher.onReply(first.number(), completed(first), 2_000);
		submit(job("b", 0, 9_000, "d", SMALL));
		PoolCall second = this.dispatcher.nextCall(2_000).orElseThrow();
		assertFalse(second.worker().id().equals(first.worker().id()));
		submit(job("c", 0, 9_000, "d", SMALL));
		assertTrue(this.dispatcher.nextCall(2_000).isEmpty(), "better to wait for the fast one");
	}

	private static PieceJob reader(String request) {
		return PieceJob.builder(new PieceId(request, 2, 0), "pool")
			.source("", List.of("m/1"))
			.dueBy(5_000, 9_000)
			.preferredDomain("d", LARGE)
			.result(SMALL, false)
			.build();
	}

	private void submitRecordingReads(PieceJob job, List<PieceId> read) {
		this.dispatcher.submit(job, new PieceListener() {

			@Override
			public void onOutcome(PieceId id, PieceOutcome outcome) {
				PoolDispatcherTests.this.received.put(id, outcome);
			}

			@Override
			public void onInputsRead(PieceId id) {
				read.add(id);
			}

		});
	}

	@Test
	void inputsAreReportedReadBeforeTheCallEndsIfTheWorkerWasIdle() {
		List<PieceId> read = new ArrayList<>();
		this.dispatcher.updateWorkers(List.of(worker("w", "d", false)), Set.of());
		submitRecordingReads(reader("first"), read);
		PoolCall first = this.dispatcher.nextCall(0).orElseThrow();
		this.dispatcher.tick(150);
		assertEquals(read, List.of(), "the worker may be busy with another dispatcher's call");
		this.dispatcher.onReply(first.number(), completed(first), 220);
		submitRecordingReads(reader("second"), read);
		this.dispatcher.nextCall(220);
		this.dispatcher.tick(300);
		assertEquals(read, List.of(), "too early");
		this.dispatcher.tick(325);
		this.dispatcher.tick(350);
		assertEquals(read, List.of(new PieceId("second", 2, 0)));
	}

	@DataProvider
	static Object[][] callEndings() {
		return new Object[][] { { "broken" }, { "overdue, then broken" }, { "overdue, then completed" } };
	}

	/**
	 * Guards against a retry of a piece whose inputs may already be released: the request
	 * has to recompute them, but not while the worker of the piece may be only silent.
	 */
	@Test(dataProvider = "callEndings")
	void aPieceWhoseInputsWereReadIsNotRetried(String end) {
		this.dispatcher.updateWorkers(List.of(worker("w", "d", false)), Set.of());
		submitRecordingReads(reader("first"), new ArrayList<>());
		PoolCall first = this.dispatcher.nextCall(0).orElseThrow();
		this.dispatcher.onReply(first.number(), completed(first), 220);
		submitRecordingReads(reader("second"), new ArrayList<>());
		PoolCall second = this.dispatcher.nextCall(220).orElseThrow();
		this.dispatcher.updateWorkers(List.of(worker("w", "d", false), worker("other", "d", false)), Set.of());
		this.dispatcher.tick(320);
		if (end.startsWith("overdue")) {
			this.dispatcher.tick(800);
			assertFalse(this.received.containsKey(new PieceId("second", 2, 0)));
			assertTrue(this.dispatcher.nextCall(800).isEmpty());
		}
		if (end.endsWith("broken")) {
			this.dispatcher.onFailure(second.number(), true, 840);
		}
		else {
			this.dispatcher.onReply(second.number(), completed(second), 840);
		}
		assertEquals(this.received.get(new PieceId("second", 2, 0)).status(),
				end.endsWith("broken") ? PieceOutcome.Status.INPUT_GONE : PieceOutcome.Status.MADE);
		assertTrue(this.dispatcher.nextCall(840).isEmpty());
	}

	/** Guards against pieces that stay queued at a dispatcher that stops under load. */
	@Test
	void aStoppedDispatcherHandsBackQueuedPiecesAndCompletesItsCalls() {
		List<PieceId> handedBack = new ArrayList<>();
		PieceListener listener = new PieceListener() {

			@Override
			public void onOutcome(PieceId id, PieceOutcome outcome) {
				PoolDispatcherTests.this.received.put(id, outcome);
			}

			@Override
			public void onHandedBack(PieceId id) {
				handedBack.add(id);
			}

		};
		this.dispatcher.updateWorkers(List.of(worker("w", "d", false)), Set.of());
		this.dispatcher.submit(job("running", 0, 9_000, "d", SMALL), listener);
		PoolCall call = this.dispatcher.nextCall(0).orElseThrow();
		this.dispatcher.submit(job("waiting", 0, 9_000, "d", SMALL), listener);
		this.dispatcher.stop();
		this.dispatcher.submit(job("asked later", 0, 9_000, "d", SMALL), listener);
		assertEquals(handedBack, List.of(new PieceId("waiting", 0, 0), new PieceId("asked later", 0, 0)));
		assertTrue(this.received.isEmpty());
		this.dispatcher.onReply(call.number(), completed(call), 220);
		assertEquals(this.received.keySet(), Set.of(new PieceId("running", 0, 0)));
		assertEquals(this.dispatcher.queueSize() + this.dispatcher.callsInProgress(), 0);
		this.dispatcher.resume();
		this.dispatcher.submit(job("nobody else", 0, 9_000, "d", SMALL), listener);
		assertTrue(this.dispatcher.nextCall(300).isPresent());
	}

	@DataProvider
	static Object[][] failures() {
		return new Object[][] { { true }, { false } };
	}

	@Test(dataProvider = "failures")
	void aFailedCallsPiecesGoToAnotherWorker(boolean started) {
		this.dispatcher.updateWorkers(List.of(worker("w1", "d", false), worker("w2", "d", false)), Set.of());
		submit(job("r", 0, 9_000, "d", SMALL));
		PoolCall first = this.dispatcher.nextCall(0).orElseThrow();
		this.dispatcher.onFailure(first.number(), started, 10);
		PoolCall second = this.dispatcher.nextCall(10).orElseThrow();
		assertFalse(second.worker().id().equals(first.worker().id()));
	}

	@Test
	void aWithdrawnPieceIsNotProcessed() {
		submit(job("r", 0, 9_000, "d", SMALL));
		this.dispatcher.withdraw(new PieceId("r", 0, 0));
		this.dispatcher.updateWorkers(List.of(worker("w", "d", false)), Set.of());
		assertTrue(this.dispatcher.nextCall(0).isEmpty());
	}

	@Test
	void aRepeatedSubmissionReplacesTheListener() {
		List<String> notified = new ArrayList<>();
		PieceJob job = job("r", 0, 9_000, "d", SMALL);
		this.dispatcher.submit(job, (id, outcome) -> notified.add("first"));
		this.dispatcher.submit(job, (id, outcome) -> notified.add("second"));
		this.dispatcher.updateWorkers(List.of(worker("w", "d", false)), Set.of());
		PoolCall call = this.dispatcher.nextCall(0).orElseThrow();
		assertEquals(call.jobs().size(), 1);
		this.dispatcher.onReply(call.number(), completed(call), 220);
		assertEquals(notified, List.of("second"));
	}

	@DataProvider
	static Object[][] seeds() {
		Object[][] seeds = new Object[40][1];
		for (int i = 0; i < seeds.length; i++) {
			seeds[i][0] = (long) i;
		}
		return seeds;
	}

	/**
	 * Guards against lost or repeated outcomes under random failures and worker changes.
	 */
	@Test(dataProvider = "seeds")
	void eachPieceHasOneOutcome(long seed) {
		Map<PieceId, Integer> outcomes = new HashMap<>();
		int submitted = runRandomly(seed, outcomes, (running) -> {
		});
		assertEquals(outcomes.size(), submitted);
		assertTrue(outcomes.values().stream().allMatch((count) -> count == 1));
	}

	// Guards against a worker that is listed again and gets a further call for each one
	// that it ran before.
	@Test(dataProvider = "seeds")
	void aWorkerRunsNoMoreNewCallsThanItHasSlots(long seed) {
		runRandomly(seed, new HashMap<>(), (running) -> {
			Map<String, Long> callsByWorker = running.stream()
				.collect(Collectors.groupingBy((call) -> call.worker().id(), Collectors.counting()));
			assertTrue(callsByWorker.values().stream().allMatch((count) -> count <= SPEC.slots()),
					callsByWorker.toString());
		});
	}

	// Guards against a call from before a worker was unlisted that frees the slot of a
	// later one.
	@Test
	void theEndOfACallFromBeforeAWorkerWasUnlistedFreesNoSlot() {
		for (int i = 0; i < 3 * SPEC.batch(); i++) {
			submit(job("r" + i, 0, 3_000 + i, "d", SMALL));
		}
		this.dispatcher.updateWorkers(List.of(worker("w", "d", false)), Set.of());
		PoolCall before = this.dispatcher.nextCall(0).orElseThrow();
		this.dispatcher.updateWorkers(List.of(), Set.of());
		this.dispatcher.updateWorkers(List.of(worker("w", "d", false)), Set.of());
		this.dispatcher.nextCall(10).orElseThrow();
		this.dispatcher.onReply(before.number(), completed(before), 20);
		assertTrue(this.dispatcher.nextCall(20).isEmpty(), "the only worker is busy");
	}

	// Submits pieces while workers come and go, and calls succeed or fail. The check gets
	// the running calls of the workers that have been listed since their start.
	private int runRandomly(long seed, Map<PieceId, Integer> outcomes, Consumer<List<PoolCall>> check) {
		Random random = new Random(seed);
		List<PoolCall> running = new ArrayList<>();
		List<PoolCall> ofListedWorkers = new ArrayList<>();
		int submitted = 0;
		for (long now = 0; now < 12_000; now += 10) {
			if (now < 4_000 && random.nextInt(4) == 0) {
				PieceJob job = job("r" + submitted, random.nextInt(3), now + 1_000, "d" + random.nextInt(2),
						random.nextBoolean() ? LARGE : SMALL);
				this.dispatcher.submit(job, (id, outcome) -> outcomes.merge(id, 1, Integer::sum));
				submitted++;
			}
			if (random.nextInt(100) == 0) {
				List<UpstreamEntry> workers = List.of(worker("w" + random.nextInt(3), "d0", false),
						worker("x" + random.nextInt(3), "d1", random.nextInt(5) == 0));
				this.dispatcher.updateWorkers(workers, Set.of());
				ofListedWorkers.removeIf((call) -> workers.stream().noneMatch((each) -> isSame(each, call.worker())));
			}
			this.dispatcher.tick(now);
			Optional<PoolCall> call = this.dispatcher.nextCall(now);
			while (call.isPresent()) {
				running.add(call.get());
				ofListedWorkers.add(call.get());
				call = this.dispatcher.nextCall(now);
			}
			for (PoolCall each : new ArrayList<>(running)) {
				if (random.nextInt(30) == 0) {
					running.remove(each);
					ofListedWorkers.remove(each);
					end(each, random, now);
				}
			}
			check.accept(ofListedWorkers);
		}
		return submitted;
	}

	private static boolean isSame(UpstreamEntry one, UpstreamEntry other) {
		return one.incarnation().equals(other.incarnation());
	}

	private void end(PoolCall call, Random random, long now) {
		if (random.nextInt(4) == 0) {
			this.dispatcher.onFailure(call.number(), random.nextBoolean(), now);
			return;
		}
		List<PieceOutcome> outcomes = new ArrayList<>();
		for (PieceJob job : call.jobs()) {
			PieceOutcome.Status[] kinds = PieceOutcome.Status.values();
			PieceOutcome.Status kind = kinds[random.nextInt(kinds.length)];
			outcomes.add((kind != PieceOutcome.Status.MADE) ? PieceOutcome.notCompleted(kind)
					: PieceOutcome.completed("w/" + job.id().requestId()));
		}
		this.dispatcher.onReply(call.number(), outcomes, now);
	}

}
