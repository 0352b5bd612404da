package org.tallycart.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.HdrHistogram.Histogram;

/**
 * What came of a load run.
 * <p>
 * Thread-safe while the run adds to it.
 *
 * @since 0.1
 */
public final class LoadTestReport {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final int DIGITS = 3;

	private static final int VIOLATIONS_KEPT = 20;

	private final Map<String, RequestStats> kinds = new TreeMap<>();

	private final Map<String, RequestStats> workspaces = new TreeMap<>();

	private final RequestStats all = new RequestStats();

	private final Map<String, Double> cost = new TreeMap<>();

	private final Map<String, String> markers = new TreeMap<>();

	private final List<String> violations = new ArrayList<>();

	private int violationCount;

	private int unfinished;

	private long durationMs;

	synchronized void add(Scenario.RequestKind kind, String workspace, Submission submission, ReceivedResponse answer,
			long sinceDueMs) {
		boolean attained = answer.isComplete() && sinceDueMs <= kind.deadlineMs();
		List<RequestStats> parts = List.of(this.all,
				this.kinds.computeIfAbsent(kind.name(), (name) -> new RequestStats()),
				this.workspaces.computeIfAbsent(workspace, (name) -> new RequestStats()));
		parts.forEach((part) -> part.add(answer, attained, sinceDueMs));
		answer.cost().forEach((name, amount) -> this.cost.merge(name, amount, Double::sum));
		if (!submission.idempotencyKey().isEmpty()) {
			this.markers.put(submission.marker(), answer.outcome());
		}
		if (!answer.violation().isEmpty()) {
			this.violationCount++;
			if (this.violations.size() < VIOLATIONS_KEPT) {
				this.violations.add(answer.requestId() + ": " + answer.violation());
			}
		}
	}

	synchronized void unfinished(int count) {
		this.unfinished = count;
	}

	synchronized void durationMs(long millis) {
		this.durationMs = millis;
	}

	/**
	 * Return how many answers claimed to be whole and were not, or were another's.
	 * @return the number
	 */
	public synchronized int violationCount() {
		return this.violationCount;
	}

	/**
	 * Return what is wrong with the first of them.
	 * @return a line for each
	 */
	public synchronized List<String> violations() {
		return List.copyOf(this.violations);
	}

	/**
	 * Return the last outcome told for each request that may not be repeated.
	 * @return the outcome by the request's marker
	 */
	public synchronized Map<String, String> lastOutcomes() {
		return Map.copyOf(this.markers);
	}

	/**
	 * Return the share of requests answered whole within their deadline.
	 * @return from 0 to 1
	 */
	public synchronized double attainment() {
		return this.all.attainment();
	}

	/**
	 * Return the attainment of one kind of request.
	 * @param kind the kind
	 * @return from 0 to 1
	 */
	public synchronized double attainment(String kind) {
		return this.kinds.getOrDefault(kind, new RequestStats()).attainment();
	}

	/**
	 * Return the attainment of one workspace.
	 * @param workspace the workspace
	 * @return from 0 to 1
	 */
	public synchronized double workspaceAttainment(String workspace) {
		return this.workspaces.getOrDefault(workspace, new RequestStats()).attainment();
	}

	/**
	 * Return how many requests ended with an outcome.
	 * @param outcome the outcome
	 * @return the number
	 */
	public synchronized long countByOutcome(String outcome) {
		return this.all.outcomes.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().startsWith(outcome))
			.mapToLong(Map.Entry::getValue)
			.sum();
	}

	/**
	 * Return how many requests were submitted.
	 * @return the number
	 */
	public synchronized long requestCount() {
		return this.all.total;
	}

	/**
	 * Return a cost by use, over all stages.
	 * @param use useful, retried, hedged or abandoned
	 * @return the cost
	 */
	public synchronized double cost(String use) {
		return this.cost.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().endsWith("." + use))
			.mapToDouble(Map.Entry::getValue)
			.sum();
	}

	/**
	 * Return whole answers within their deadline a second.
	 * @return the goodput
	 */
	public synchronized double goodputPerSecond() {
		return this.all.attained * 1000.0 / Math.max(this.durationMs, 1);
	}

	/**
	 * Return a quantile of the total latency.
	 * @param percentile from 0 to 100
	 * @return milliseconds
	 */
	public synchronized long latencyPercentileMs(double percentile) {
		return this.all.totalMs.getValueAtPercentile(percentile);
	}

	/**
	 * Write the report as JSON.
	 * @return the tree
	 */
	public synchronized ObjectNode toJson() {
		ObjectNode root = JSON.createObjectNode();
		root.set("all", this.all.json());
		ObjectNode byKind = root.putObject("kinds");
		this.kinds.forEach((name, part) -> byKind.set(name, part.json()));
		ObjectNode byWorkspace = root.putObject("workspaces");
		this.workspaces.forEach((name, part) -> byWorkspace.set(name, part.json()));
		ObjectNode costs = root.putObject("cost");
		this.cost.forEach(costs::put);
		root.put("goodput_per_second", goodputPerSecond());
		root.put("violations", this.violationCount).put("unfinished", this.unfinished);
		return root;
	}

	/**
	 * Write the report as text.
	 * @return the text
	 */
	public synchronized String toText() {
		StringBuilder text = new StringBuilder();
		text.append(String.format("%-22s %7s %10s %9s %9s %9s %9s  %s%n", "", "total", "attainment", "first p50",
				"first p95", "total p50", "total p99", "outcomes"));
		this.all.line("all", text);
		this.kinds.forEach((name, part) -> part.line("  " + name, text));
		this.workspaces.forEach((name, part) -> part.line("  in " + name, text));
		text.append(String.format("cost by stage:%n"));
		this.cost.forEach((name, amount) -> text.append(String.format("  %-32s %12.1f%n", name, amount)));
		text.append(String.format("goodput %.1f/s, wrong or foreign answers %d, unfinished %d%n", goodputPerSecond(),
				this.violationCount, this.unfinished));
		this.violations.forEach((violation) -> text.append("  VIOLATION ").append(violation).append('\n'));
		return text.toString();
	}

	/** The figures of some of the requests. Guarded by the report. */
	private static final class RequestStats {

		private final Histogram firstMs = new Histogram(DIGITS);

		private final Histogram totalMs = new Histogram(DIGITS);

		private final Map<String, Long> outcomes = new TreeMap<>();

		private long total;

		private long attained;

		private void add(ReceivedResponse answer, boolean inTime, long sinceDueMs) {
			this.total++;
			this.attained += inTime ? 1 : 0;
			String outcome = answer.outcome().equals("COMPLETE") ? answer.outcome()
					: answer.outcome() + "/" + answer.reason();
			this.outcomes.merge(outcome, 1L, Long::sum);
			if (answer.isComplete()) {
				this.totalMs.recordValue(sinceDueMs);
				this.firstMs.recordValue(Math.max(answer.firstTokenMs() + sinceDueMs - answer.totalMs(), 0));
			}
		}

		private double attainment() {
			return (this.total != 0) ? (double) this.attained / this.total : 0;
		}

		private ObjectNode json() {
			ObjectNode node = JSON.createObjectNode().put("total", this.total).put("attainment", attainment());
			for (double percentile : new double[] { 50, 95, 99 }) {
				node.put("first_p" + (int) percentile + "_ms", this.firstMs.getValueAtPercentile(percentile));
				node.put("total_p" + (int) percentile + "_ms", this.totalMs.getValueAtPercentile(percentile));
			}
			ObjectNode counts = node.putObject("outcomes");
			this.outcomes.forEach(counts::put);
			return node;
		}

		private void line(String name, StringBuilder text) {
			text.append(String.format("%-22s %7d %9.2f%% %9d %9d %9d %9d  %s%n", name, this.total, attainment() * 100,
					this.firstMs.getValueAtPercentile(50), this.firstMs.getValueAtPercentile(95),
					this.totalMs.getValueAtPercentile(50), this.totalMs.getValueAtPercentile(99), this.outcomes));
		}

	}

}
