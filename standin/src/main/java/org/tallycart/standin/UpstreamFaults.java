package org.tallycart.standin;

import java.util.Random;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * What an upstream stand-in does wrong at present. Set by JSON at {@code /admin/fault}.
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

	private volatile boolean hang;

	private volatile boolean runThenHang;

	private volatile boolean leaving;

	private volatile long reportLagMs;

	UpstreamFaults(long seed) {
		this.random = new Random(seed);
	}

	void set(JsonNode fault) {
		this.slowFactor = fault.path("slow_factor").asDouble(this.slowFactor);
		this.failPercent = fault.path("fail_percent").asInt(this.failPercent);
		this.truncatePercent = fault.path("truncate_percent").asInt(this.truncatePercent);
		this.foreignPercent = fault.path("foreign_percent").asInt(this.foreignPercent);
		this.hang = fault.path("hang").asBoolean(this.hang);
		this.runThenHang = fault.path("run_then_hang").asBoolean(this.runThenHang);
		this.leaving = fault.path("leaving").asBoolean(this.leaving);
		this.reportLagMs = fault.path("report_lag_ms").asLong(this.reportLagMs);
	}

	double slowFactor() {
		return this.slowFactor;
	}

	boolean fails() {
		return happens(this.failPercent);
	}

	boolean truncates() {
		return happens(this.truncatePercent);
	}

	boolean answersForAnother() {
		return happens(this.foreignPercent);
	}

	boolean hangs() {
		return this.hang;
	}

	boolean runsThenHangs() {
		return this.runThenHang;
	}

	boolean isLeaving() {
		return this.leaving;
	}

	long reportLagMs() {
		return this.reportLagMs;
	}

	private boolean happens(int percent) {
		synchronized (this.random) {
			return percent > 0 && this.random.nextInt(PERCENT) < percent;
		}
	}

}
