package org.tallycart.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

import com.fasterxml.uuid.Generators;
import org.tallycart.core.ini.Address;

/**
 * Runs a scenario in open loop: requests are submitted when they are due, whether or not
 * earlier ones have ended, and each latency counts from when the request was due.
 * <p>
 * Not thread-safe.
 *
 * @since 0.1
 */
public final class LoadGenerator {

	private static final double MILLIS = 1_000;

	private static final long DRAIN_MS = 60_000;

	private static final int CONNECT_TRIES = 3;

	private static final long LONGEST_PAUSE_MS = 1_000;

	private final Scenario scenario;

	private final Supplier<List<Address>> entries;

	private final LoadTestReport report = new LoadTestReport();

	private final AtomicInteger pending = new AtomicInteger();

	private final String runId;

	private LoadGenerator(Scenario scenario, Supplier<List<Address>> entries) {
		this.scenario = scenario;
		this.entries = entries;
		this.runId = Long.toString(Generators.timeBasedEpochGenerator().generate().getMostSignificantBits() >>> 16, 36);
	}

	/**
	 * Run a scenario.
	 * @param scenario the scenario
	 * @param entries where requests may go now, as a balancer would know
	 * @return what came of it
	 */
	public static LoadTestReport run(Scenario scenario, Supplier<List<Address>> entries) {
		return new LoadGenerator(scenario, entries).run();
	}

	private LoadTestReport run() {
		ExecutorService threads = Executors.newCachedThreadPool((task) -> {
			Thread thread = new Thread(task, "caller");
			thread.setDaemon(true);
			return thread;
		});
		long startNs = System.nanoTime();
		for (Arrival arrival : arrivals()) {
			long dueNs = startNs + TimeUnit.MILLISECONDS.toNanos(arrival.atMs);
			sleepUntil(dueNs);
			this.pending.incrementAndGet();
			threads.execute(() -> {
				submit(arrival, dueNs);
				this.pending.decrementAndGet();
			});
		}
		for (long waited = 0; waited < DRAIN_MS && this.pending.get() > 0; waited++) {
			sleepUntil(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(1));
		}
		threads.shutdownNow();
		this.report.unfinished(this.pending.get());
		this.report.durationMs(this.scenario.durationMs());
		return this.report;
	}

	private List<Arrival> arrivals() {
		Random random = new Random(this.scenario.seed());
		List<Arrival> arrivals = new ArrayList<>();
		double atMs = 0;
		int number = 0;
		while (true) {
			boolean burst = atMs >= this.scenario.burstAtMs()
					&& atMs < this.scenario.burstAtMs() + this.scenario.burstMs();
			double rate = this.scenario.ratePerSecond() * (burst ? this.scenario.burstFactor() : 1);
			atMs += -Math.log(1 - random.nextDouble()) * MILLIS / rate;
			if (atMs >= this.scenario.durationMs()) {
				return arrivals;
			}
			arrivals.add(new Arrival((long) atMs, number++, pick(random), random.nextLong()));
		}
	}

	private Scenario.RequestKind pick(Random random) {
		double total = this.scenario.mix().stream().mapToDouble(Scenario.RequestKind::weight).sum();
		double point = random.nextDouble() * total;
		for (Scenario.RequestKind kind : this.scenario.mix()) {
			point -= kind.weight();
			if (point < 0) {
				return kind;
			}
		}
		return this.scenario.mix().get(this.scenario.mix().size() - 1);
	}

	private void submit(Arrival arrival, long dueNs) {
		Scenario.RequestKind kind = arrival.kind;
		Random random = new Random(arrival.seed);
		int tokens = kind.minTokens() + random.nextInt(kind.maxTokens() - kind.minTokens() + 1);
		String workspace = kind.workspaces().get(random.nextInt(kind.workspaces().size()));
		Submission.Builder builder = Submission
			.builder(kind.pipeline(), workspace, "r" + this.runId + "-" + arrival.number)
			.label(kind.label())
			.deadlineMs(kind.deadlineMs())
			.maxTokens(tokens)
			.stream(kind.stream());
		if (!kind.repeatable()) {
			builder.idempotencyKey(newKey());
		}
		if (kind.sessions() > 0) {
			builder.prefix(
					"Session " + random.nextInt(kind.sessions()) + " of the long common part of all its questions. ");
		}
		Submission submission = builder.build();
		ReceivedResponse answer = reach(submission, random);
		for (int i = 0; i < this.scenario.resubmissions() && !submission.idempotencyKey().isEmpty()
				&& unsettled(answer); i++) {
			pause(answer.retryAfterMs(), random);
			submission = answer.outcome().equals("NOT_RUN") ? submission.withNewKey(newKey())
					: submission.resubmission();
			answer = reach(submission, random);
		}
		this.report.add(kind, workspace, submission, answer, (System.nanoTime() - dueNs) / 1_000_000);
	}

	private static String newKey() {
		return Generators.timeBasedEpochGenerator().generate().toString();
	}

	private static boolean unsettled(ReceivedResponse answer) {
		return !answer.outcome().equals("COMPLETE") && !answer.outcome().equals("FAILED");
	}

	private static void pause(long wantedMs, Random random) {
		sleepUntil(System.nanoTime()
				+ TimeUnit.MILLISECONDS.toNanos(Math.min(wantedMs, LONGEST_PAUSE_MS) + random.nextInt(100)));
	}

	private ReceivedResponse reach(Submission submission, Random random) {
		ReceivedResponse answer = new ReceivedResponse(ReceivedResponse.NONE, "CONNECT", "", "", 0, -1, 0,
				java.util.Map.of(), "");
		for (int i = 0; i < CONNECT_TRIES && answer.reason().equals("CONNECT"); i++) {
			List<Address> known = this.entries.get();
			if (!known.isEmpty()) {
				answer = CallerClient.submit(known.get(random.nextInt(known.size())), submission);
			}
		}
		return answer;
	}

	private static void sleepUntil(long untilNs) {
		long left = untilNs - System.nanoTime();
		if (left <= 0) {
			return;
		}
		try {
			TimeUnit.NANOSECONDS.sleep(left);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private record Arrival(long atMs, int number, Scenario.RequestKind kind, long seed) {
	}

}
