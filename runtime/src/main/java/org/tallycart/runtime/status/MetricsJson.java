package org.tallycart.runtime.status;

import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Writes metrics as JSON: one member for each metric, timers in milliseconds.
 * <p>
 * Thread-safe: holds no state.
 *
 * @since 0.1
 */
final class MetricsJson {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final double NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

	private MetricsJson() {
	}

	static ObjectNode write(MetricRegistry metrics) {
		ObjectNode root = JSON.createObjectNode();
		metrics.getCounters().forEach((name, counter) -> root.put(name, counter.getCount()));
		metrics.getGauges().forEach((name, gauge) -> root.putPOJO(name, gauge.getValue()));
		metrics.getTimers().forEach((name, timer) -> {
			Snapshot snapshot = timer.getSnapshot();
			root.putObject(name)
				.put("count", timer.getCount())
				.put("p50_ms", snapshot.getMedian() / NANOS_PER_MS)
				.put("p99_ms", snapshot.get99thPercentile() / NANOS_PER_MS);
		});
		return root;
	}

}
