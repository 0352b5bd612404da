package org.tallycart.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.HdrHistogram.Histogram;

/**
 * Results of a load run: attainment, latency, outcomes and cost.
 * <p>
 * Thread-safe.
 *
 * @since 0.1
 */
public final class LoadTestReport {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final int SIGNIFICANT_DIGITS = 3;

	private static final int MAX_VIOLATIONS_LISTED = 20;

	private final Map<String, RequestStats> kinds = new TreeMap<>();

	private final Map<String, RequestStats> workspaces = new TreeMap<>();

	private final RequestStats all = new RequestStats();

	private final Map<String, Double> cost = new TreeMap<>();

	private final Map<String, String> lastOutcomes = new TreeMap<>();

	private final List<String> violations = new ArrayList<>();

	private int violationCount;

	private int unfinished;

	private long durationMs;

	synchronized void add(Scenario.RequestKind kind, String workspace, Submission submission, ReceivedResponse response,
			long latencyMs) {
		boolean attained = response.isComplete() && latencyMs <= kind.deadlineMs();
		List<RequestStats> affected = List.of(this.all,
				this.kinds.computeIfAbsent(kind.name(), (name) -> new RequestStats()),
				this.workspaces.computeIfAbsent(workspace, (name) -> new RequestStats()));
		affected.forEach((stats) -> stats.add(response, attained, latencyMs));
		response.cost().forEach((name, amount) -> this.cost.merge(name, amount, Double::sum));
		if (!submission.idempotencyKey().isEmpty()) {
			this.lastOutcomes.put(submission.marker(), response.outcome());
		}
		if (!response.violation().isEmpty()) {
			this.violationCount++;
			if (this.violations.size() < MAX_VIOLATIONS_LISTED) {
				this.violations.add(response.requestId() + ": " + response.violation());
			}
		}
	}

	synchronized void setUnfinished(int count) {
		this.unfinished = count;
	}

	synchronized void setDurationMs(long millis) {
		this.durationMs = millis;
	}

	/**
	 * Return the number of COMPLETE responses that were not complete or belonged to
	 * another request.
	 * @return the number
	 */
	public synchronized int violationCount() {
		return this.violationCount;
	}

	/**
	 * Return the first violations found, up to a fixed number.
	 * @return one line for each, with the request's id
	 */
	public synchronized List<String> violations() {
		return List.copyOf(this.violations);
	}

	/**
	 * Return the last outcome received for each request with an idempotency key.
	 * @return the outcome by the request's marker
	 */
	public synchronized Map<String, String> lastOutcomes() {
		return Map.copyOf(this.lastOutcomes);
	}

	/**
	 * Return the share of requests with a complete response within their deadline.
	 * @return from 0 to 1
	 */
	public synchronized double attainment() {
		return this.all.attainment();
	}

	/**
	 * Return the attainment of one kind of request.
	 * @param kind the name of the kind
	 * @return from 0 to 1; 0 if there were no requests of this kind
	 */
	public synchronized double attainment(String kind) {
		return this.kinds.getOrDefault(kind, new RequestStats()).attainment();
	}

	/**
	 * Return the attainment of one workspace.
	 * @param workspace the workspace's id
	 * @return from 0 to 1; 0 if there were no requests of this workspace
	 */
	public synchronized double workspaceAttainment(String workspace) {
		return this.workspaces.getOrDefault(workspace, new RequestStats()).attainment();
	}

	/**
	 * Return the number of requests that ended with an outcome.
	 * @param outcome the outcome, or a prefix of {@code OUTCOME/REASON}
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
	 * Return the number of requests that ended.
	 * @return the number
	 */
	public synchronized long requestCount() {
		return this.all.total;
	}

	/**
	 * Return the cost of one use, summed over all stages.
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
	 * Return the number of complete responses within their deadline, per second.
	 * @return the goodput
	 */
	public synchronized double goodputPerSecond() {
		return this.all.attained * 1000.0 / Math.max(this.durationMs, 1);
	}

	/**
	 * Return a percentile of the total latency of complete responses, from the scheduled
	 * time.
	 * @param percentile from 0 to 100
	 * @return milliseconds
	 */
	public synchronized long latencyPercentileMs(double percentile) {
		return this.all.totalMs.getValueAtPercentile(percentile);
	}

	/**
	 * Return the report as JSON.
	 * @return the JSON object
	 */
	public synchronized ObjectNode toJson() {
		ObjectNode root = JSON.createObjectNode();
		root.set("all", this.all.json());
		ObjectNode byKind = root.putObject("kinds");
		this.kinds.forEach((name, stats) -> byKind.set(name, stats.json()));
		ObjectNode byWorkspace = root.putObject("workspaces");
		this.workspaces.forEach((name, stats) -> byWorkspace.set(name, stats.json()));
		ObjectNode costs = root.putObject("cost");
		this.cost.forEach(costs::put);
		root.put("goodput_per_second", goodputPerSecond());
		root.put("violations", this.violationCount).put("unfinished", this.unfinished);
		return root;
	}

	/**
	 * Return the report as text.
	 * @return a table of several lines
	 */
	public synchronized String toText() {
		StringBuilder text = new StringBuilder();
		text.append(String.format("%-22s %7s %10s %9s %9s %9s %9s  %s%n", "", "total", "attainment", "first p50",
				"first p95", "total p50", "total p99", "outcomes"));
		this.all.appendLine("all", text);
		this.kinds.forEach((name, stats) -> stats.appendLine("  " + name, text));
		this.workspaces.forEach((name, stats) -> stats.appendLine("  in " + name, text));
		text.append(String.format("cost by stage:%n"));
		this.cost.forEach((name, amount) -> text.append(String.format("  %-32s %12.1f%n", name, amount)));
		text.append(String.format("goodput %.1f/s, wrong or foreign answers %d, unfinished %d%n", goodputPerSecond(),
				this.violationCount, this.unfinished));
		this.violations.forEach((violation) -> text.append("  VIOLATION ").append(violation).append('\n'));
		return text.toString();
	}

	/** Statistics of a subset of the requests. Guarded by the report's monitor. */
	private static final class RequestStats {

		private final Histogram firstMs = new Histogram(SIGNIFICANT_DIGITS);

		private final Histogram totalMs = new Histogram(SIGNIFICANT_DIGITS);

		private final Map<String, Long> outcomes = new TreeMap<>();

		private long total;

		private long attained;

		private void add(ReceivedResponse response, boolean attained, long latencyMs) {
			this.total++;
			this.attained += attained ? 1 : 0;
			String outcome = response.outcome().equals("COMPLETE") ? response.outcome()
					: response.outcome() + "/" + response.reason();
			this.outcomes.merge(outcome, 1L, Long::sum);
			if (response.isComplete()) {
				this.totalMs.recordValue(latencyMs);
				this.firstMs.recordValue(Math.max(response.firstTokenMs() + latencyMs - response.totalMs(), 0));
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

		private void appendLine(String name, StringBuilder text) {
			text.append(String.format("%-22s %7d %9.2f%% %9d %9d %9d %9d  %s%n", name, this.total, attainment() * 100,
					this.firstMs.getValueAtPercentile(50), this.firstMs.getValueAtPercentile(95),
					this.totalMs.getValueAtPercentile(50), this.totalMs.getValueAtPercentile(99), this.outcomes));
		}

	}

}
