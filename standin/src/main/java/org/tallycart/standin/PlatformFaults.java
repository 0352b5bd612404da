package org.tallycart.standin;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Faults that the platform stand-in currently injects. Set by JSON at
 * {@code /admin/fault}; a field that is absent keeps its value.
 * <p>
 * Thread-safe.
 *
 * @since 0.1
 */
final class PlatformFaults {

	private volatile boolean outage;

	private volatile long delayMs;

	private volatile boolean staleReads;

	private final AtomicInteger repliesToLose = new AtomicInteger();

	private final Map<String, Long> vmListLagMs = new ConcurrentHashMap<>();

	void set(JsonNode fault) {
		this.outage = fault.path("outage").asBoolean(this.outage);
		this.delayMs = fault.path("delay_ms").asLong(this.delayMs);
		this.staleReads = fault.path("old_reads").asBoolean(this.staleReads);
		if (fault.has("lose_answers")) {
			this.repliesToLose.set(fault.get("lose_answers").asInt());
		}
		fault.path("vm_list_lag_ms")
			.properties()
			.forEach((lag) -> this.vmListLagMs.put(lag.getKey(), lag.getValue().asLong()));
	}

	boolean isOutage() {
		return this.outage;
	}

	long delayMs() {
		return this.delayMs;
	}

	boolean servesStaleReads() {
		return this.staleReads;
	}

	boolean takeReplyLoss() {
		return this.repliesToLose.getAndUpdate((left) -> Math.max(left - 1, 0)) > 0;
	}

	long vmListLagMs(String caller) {
		return this.vmListLagMs.getOrDefault(caller, 0L);
	}

}
