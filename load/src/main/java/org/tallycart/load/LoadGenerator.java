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
 * Open-loop load generator: requests are submitted at their scheduled times, whether or
 * not earlier ones have ended, and latency is measured from the scheduled time.
 * <p>
 * Not thread-safe.
 *
 * @since 0.1
 */
public final class LoadGenerator {

	private static final double MILLIS_PER_SECOND = 1_000;

	private static final long MAX_DRAIN_MS = 60_000;

	private static final int MAX_CONNECT_ATTEMPTS = 3;

	private static final long MAX_PAUSE_MS = 1_000;

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
	 * Run a scenario and wait for its requests to end. Requests that do not end in time
	 * are reported as unfinished.
	 * @param scenario the scenario
	 * @param entries supplies the entry addresses currently in the balancer
	 * @return the report
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
			long scheduledNs = startNs + TimeUnit.MILLISECONDS.toNanos(arrival.atMs);
			sleepUntil(scheduledNs);
			this.pending.incrementAndGet();
			threads.execute(() -> {
				submit(arrival, scheduledNs);
				this.pending.decrementAndGet();
			});
		}
		for (long waited = 0; waited < MAX_DRAIN_MS && this.pending.get() > 0; waited++) {
			sleepUntil(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(1));
		}
		threads.shutdownNow();
		this.report.setUnfinished(this.pending.get());
		this.report.setDurationMs(this.scenario.durationMs());
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
			atMs += -Math.log(1 - random.nextDouble()) * MILLIS_PER_SECOND / rate;
			if (atMs >= this.scenario.durationMs()) {
				return arrivals;
			}
			arrivals.add(new Arrival((long) atMs, number++, pickKind(random), random.nextLong()));
		}
	}

	private Scenario.RequestKind pickKind(Random random) {
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

	private void submit(Arrival arrival, long scheduledNs) {
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
		ReceivedResponse response = submitToRandomEntry(submission, random);
		for (int i = 0; i < this.scenario.resubmissions() && !submission.idempotencyKey().isEmpty()
				&& mayResubmit(response); i++) {
			pauseBeforeResubmission(response.retryAfterMs(), random);
			submission = response.outcome().equals("NOT_RUN") ? submission.withNewKey(newKey())
					: submission.resubmission();
			response = submitToRandomEntry(submission, random);
		}
		this.report.add(kind, workspace, submission, response, (System.nanoTime() - scheduledNs) / 1_000_000);
	}

	private static String newKey() {
		return Generators.timeBasedEpochGenerator().generate().toString();
	}

	private static boolean mayResubmit(ReceivedResponse response) {
		return !response.outcome().equals("COMPLETE") && !response.outcome().equals("FAILED");
	}

	private static void pauseBeforeResubmission(long requestedMs, Random random) {
		sleepUntil(System.nanoTime()
				+ TimeUnit.MILLISECONDS.toNanos(Math.min(requestedMs, MAX_PAUSE_MS) + random.nextInt(100)));
	}

	private ReceivedResponse submitToRandomEntry(Submission submission, Random random) {
		ReceivedResponse response = new ReceivedResponse(ReceivedResponse.NONE, "CONNECT", "", "", 0, -1, 0,
				java.util.Map.of(), "");
		for (int i = 0; i < MAX_CONNECT_ATTEMPTS && response.reason().equals("CONNECT"); i++) {
			List<Address> addresses = this.entries.get();
			if (!addresses.isEmpty()) {
				response = CallerClient.submit(addresses.get(random.nextInt(addresses.size())), submission);
			}
		}
		return response;
	}

	private static void sleepUntil(long deadlineNs) {
		long remainingNs = deadlineNs - System.nanoTime();
		if (remainingNs <= 0) {
			return;
		}
		try {
			TimeUnit.NANOSECONDS.sleep(remainingNs);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private record Arrival(long atMs, int number, Scenario.RequestKind kind, long seed) {
	}

}
