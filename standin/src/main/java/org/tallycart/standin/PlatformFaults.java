package org.tallycart.standin;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * What the platform stand-in does wrong at present. Set by JSON at {@code /admin/fault}.
 * <p>
 * Thread-safe.
 *
 * @since 0.1
 */
final class PlatformFaults {

	private volatile boolean outage;

	private volatile long delayMs;

	private volatile boolean oldReads;

	private final AtomicInteger answersToLose = new AtomicInteger();

	private final Map<String, Long> vmListLagMs = new ConcurrentHashMap<>();

	void set(JsonNode fault) {
		this.outage = fault.path("outage").asBoolean(this.outage);
		this.delayMs = fault.path("delay_ms").asLong(this.delayMs);
		this.oldReads = fault.path("old_reads").asBoolean(this.oldReads);
		if (fault.has("lose_answers")) {
			this.answersToLose.set(fault.get("lose_answers").asInt());
		}
		fault.path("vm_list_lag_ms")
			.properties()
			.forEach((lag) -> this.vmListLagMs.put(lag.getKey(), lag.getValue().asLong()));
	}

	boolean outage() {
		return this.outage;
	}

	long delayMs() {
		return this.delayMs;
	}

	boolean oldReads() {
		return this.oldReads;
	}

	boolean losesThisAnswer() {
		return this.answersToLose.getAndUpdate((left) -> Math.max(left - 1, 0)) > 0;
	}

	long vmListLagMs(String caller) {
		return this.vmListLagMs.getOrDefault(caller, 0L);
	}

}
