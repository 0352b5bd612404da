package org.tallycart.core.routing;

import org.tallycart.core.declaration.Upstream;

/**
 * State of one upstream as known to one VM: load, latency and ejection.
 * <p>
 * An upstream is ejected after consecutive failures or for high latency, and is on
 * probation afterwards until its latency is in line with its peers. Not thread-safe:
 * guarded by {@link UpstreamTable}.
 *
 * @since 0.1
 */
final class UpstreamHealth {

	/** Number of consecutive failures that eject an upstream. */
	private static final int FAILURES_TO_EJECT = 3;

	/** Minimum number of latency samples for a comparison with peers. */
	static final int MIN_SAMPLES = 5;

	private static final long INITIAL_EJECTION_MS = 1_000;

	private static final long MAX_EJECTION_MS = 30_000;

	private static final double EWMA_WEIGHT = 0.2;

	private final Upstream upstream;

	private int inFlight;

	private int reportedCalls;

	private int inFlightAtReport;

	private long reportMs = -1;

	private int consecutiveFailures;

	private long ejectedUntilMs;

	private long ejectionMs = INITIAL_EJECTION_MS;

	private double latencyMs;

	private int samples;

	private boolean probation;

	UpstreamHealth(Upstream upstream) {
		this.upstream = upstream;
	}

	Upstream upstream() {
		return this.upstream;
	}

	void onStart() {
		this.inFlight++;
	}

	void onEnd() {
		this.inFlight = Math.max(this.inFlight - 1, 0);
	}

	void onSuccess() {
		this.consecutiveFailures = 0;
	}

	void onSample(double work, long millis) {
		double normalizedMs = millis / Math.max(work, 1);
		this.latencyMs = (this.samples == 0) ? normalizedMs
				: this.latencyMs + EWMA_WEIGHT * (normalizedMs - this.latencyMs);
		this.samples++;
	}

	boolean onFailure(long nowMs) {
		this.consecutiveFailures++;
		if (this.consecutiveFailures < FAILURES_TO_EJECT) {
			return false;
		}
		eject(nowMs);
		return true;
	}

	void eject(long nowMs) {
		this.ejectedUntilMs = nowMs + this.ejectionMs;
		this.ejectionMs = Math.min(this.ejectionMs * 2, MAX_EJECTION_MS);
		this.samples = 0;
		this.probation = true;
		// One more failure after the ejection ejects again; a success resets the count.
		this.consecutiveFailures = FAILURES_TO_EJECT - 1;
	}

	void endProbation() {
		this.probation = false;
		this.ejectionMs = INITIAL_EJECTION_MS;
	}

	void onReport(int calls, long nowMs) {
		this.reportedCalls = calls;
		this.inFlightAtReport = this.inFlight;
		this.reportMs = nowMs;
	}

	boolean isEjected(long nowMs) {
		return nowMs < this.ejectedUntilMs;
	}

	/**
	 * Return whether a new call may be sent now: none during an ejection, one at a time
	 * on probation.
	 * @param nowMs current time on the monotonic clock, in milliseconds
	 * @return true if a call may be sent
	 */
	boolean isUsable(long nowMs) {
		return !isEjected(nowMs) && !(this.probation && this.inFlight > 0);
	}

	int requiredSamples() {
		return this.probation ? 1 : MIN_SAMPLES;
	}

	double latencyMs() {
		return this.latencyMs;
	}

	int samples() {
		return this.samples;
	}

	int inFlight() {
		return this.inFlight;
	}

	Candidate toCandidate(long nowMs, String domain) {
		long reportAgeMs = (this.reportMs < 0) ? -1 : nowMs - this.reportMs;
		return new Candidate(this.upstream, this.inFlight, this.reportedCalls, this.inFlightAtReport, reportAgeMs,
				this.upstream.domain().equals(domain), 0);
	}

}
