package org.tallycart.standin;

import java.util.Random;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Faults that an upstream stand-in currently injects. Set by JSON at
 * {@code /admin/fault}; a field that is absent keeps its value.
 * <p>
 * Thread-safe.
 *
 * @since 0.1
 */
final class UpstreamFaults {

	private static final int PERCENT = 100;

	private final Random random;

	private volatile double slowFactor = 1;

	private volatile int failPercent;

	private volatile int truncatePercent;

	private volatile int foreignPercent;

	private volatile int unframedPercent;

	private volatile int brokenPercent;

	private volatile boolean hang;

	private volatile boolean runThenHang;

	private volatile boolean draining;

	private volatile long reportLagMs;

	UpstreamFaults(long seed) {
		this.random = new Random(seed);
	}

	void set(JsonNode fault) {
		this.slowFactor = fault.path("slow_factor").asDouble(this.slowFactor);
		this.failPercent = fault.path("fail_percent").asInt(this.failPercent);
		this.truncatePercent = fault.path("truncate_percent").asInt(this.truncatePercent);
		this.foreignPercent = fault.path("foreign_percent").asInt(this.foreignPercent);
		this.unframedPercent = fault.path("unframed_percent").asInt(this.unframedPercent);
		this.brokenPercent = fault.path("broken_percent").asInt(this.brokenPercent);
		this.hang = fault.path("hang").asBoolean(this.hang);
		this.runThenHang = fault.path("run_then_hang").asBoolean(this.runThenHang);
		this.draining = fault.path("leaving").asBoolean(this.draining);
		this.reportLagMs = fault.path("report_lag_ms").asLong(this.reportLagMs);
	}

	double slowFactor() {
		return this.slowFactor;
	}

	boolean failsCall() {
		return occurs(this.failPercent);
	}

	boolean truncatesStream() {
		return occurs(this.truncatePercent);
	}

	boolean sendsForeignRequestId() {
		return occurs(this.foreignPercent);
	}

	// A reply with neither a length nor chunks ends with its connection.
	boolean sendsUnframed() {
		return occurs(this.unframedPercent);
	}

	// A broken reply ends in order, but before it is complete.
	boolean breaksOffUnframed() {
		return occurs(this.brokenPercent);
	}

	boolean hangs() {
		return this.hang;
	}

	boolean runsThenHangs() {
		return this.runThenHang;
	}

	boolean isDraining() {
		return this.draining;
	}

	long reportLagMs() {
		return this.reportLagMs;
	}

	private boolean occurs(int percent) {
		synchronized (this.random) {
			return percent > 0 && this.random.nextInt(PERCENT) < percent;
		}
	}

}
