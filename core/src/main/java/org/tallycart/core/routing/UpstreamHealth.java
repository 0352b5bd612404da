package org.tallycart.core.routing;

import org.tallycart.core.declaration.Upstream;

/**
 * What one VM knows of one upstream.
 * <p>
 * Invariant: an incarnation that has said it is leaving is never used again. Not
 * thread-safe: guarded by {@link UpstreamTable}.
 *
 * @since 0.1
 */
final class UpstreamHealth {

	private static final int FAILURES_TO_EJECT = 3;

	/** Samples that peers are compared by. */
	static final int SAMPLES_TO_COMPARE = 5;

	private static final long FIRST_EJECTION_MS = 1_000;

	private static final long LONGEST_EJECTION_MS = 30_000;

	private static final double EWMA_WEIGHT = 0.2;

	private final Upstream upstream;

	private int inFlight;

	private int reportedCalls;

	private int inFlightAtReport;

	private long reportedAtMs = -1;

	private int failuresInRow;

	private long ejectedUntilMs;

	private long ejectionMs = FIRST_EJECTION_MS;

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
		this.failuresInRow = 0;
	}

	void onSample(double cost, long millis) {
		double normal = millis / Math.max(cost, 1);
		this.latencyMs = (this.samples == 0) ? normal : this.latencyMs + EWMA_WEIGHT * (normal - this.latencyMs);
		this.samples++;
	}

	boolean onFailure(long nowMs) {
		this.failuresInRow++;
		if (this.failuresInRow < FAILURES_TO_EJECT) {
			return false;
		}
		eject(nowMs);
		return true;
	}

	void eject(long nowMs) {
		this.ejectedUntilMs = nowMs + this.ejectionMs;
		this.ejectionMs = Math.min(this.ejectionMs * 2, LONGEST_EJECTION_MS);
		this.samples = 0;
		this.probation = true;
		// One more failure after the ejection ends ejects again; a success clears the
		// count.
		this.failuresInRow = FAILURES_TO_EJECT - 1;
	}

	void onProven() {
		this.probation = false;
		this.ejectionMs = FIRST_EJECTION_MS;
	}

	void onReport(int calls, long nowMs) {
		this.reportedCalls = calls;
		this.inFlightAtReport = this.inFlight;
		this.reportedAtMs = nowMs;
	}

	boolean ejected(long nowMs) {
		return nowMs < this.ejectedUntilMs;
	}

	/**
	 * Return whether a new call may go there now: while it has to prove itself after an
	 * ejection, one at a time.
	 * @param nowMs the monotonic clock now
	 * @return true if it may
	 */
	boolean usable(long nowMs) {
		return !ejected(nowMs) && !(this.probation && this.inFlight > 0);
	}

	int samplesToJudge() {
		return this.probation ? 1 : SAMPLES_TO_COMPARE;
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

	Candidate candidate(long nowMs, String domain) {
		long age = (this.reportedAtMs < 0) ? -1 : nowMs - this.reportedAtMs;
		return new Candidate(this.upstream, this.inFlight, this.reportedCalls, this.inFlightAtReport, age,
				this.upstream.domain().equals(domain), 0);
	}

}
