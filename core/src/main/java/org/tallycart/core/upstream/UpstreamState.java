package org.tallycart.core.upstream;

import java.util.Optional;

import org.jspecify.annotations.Nullable;
import org.tallycart.core.membership.HashedName;
import org.tallycart.core.serving.LoadReport;
import org.tallycart.core.serving.UpstreamEntry;

/**
 * The state of one incarnation of an upstream, as observed by one VM.
 * <p>
 * Invariant: an incarnation that has stated that it is draining is never used again. Not
 * thread-safe: belongs to the directory's event loop.
 *
 * @since 0.1
 */
public final class UpstreamState {

	/**
	 * Ejection time after the first failure to reach an upstream, in milliseconds.
	 */
	private static final long INITIAL_EJECTION_MS = 300;

	/**
	 * Maximum ejection time, in milliseconds; bounds the time until a recovered upstream
	 * is used.
	 */
	private static final long MAX_EJECTION_MS = 2_000;

	/**
	 * Weight of the latest outcome in the moving average of the error rate.
	 */
	private static final double ERROR_RATE_WEIGHT = 0.15;

	/** Time for which a load report is valid, in milliseconds. */
	private static final long REPORT_TTL_MS = 1_000;

	/**
	 * Time after which nothing remains of a stated slowdown, in milliseconds: upstreams
	 * keep a speed for about that long.
	 */
	private static final double SLOWDOWN_FADE_MS = 600;

	/**
	 * Bounds of the slowdown that is believed. An upstream that states a wrong one gets
	 * neither all requests nor none for longer than the figure fades.
	 */
	private static final double MIN_SLOWDOWN = 0.5;

	private static final double MAX_SLOWDOWN = 10;

	/**
	 * Time for which an upstream counts as silent after a request has waited for it too
	 * long, in milliseconds. A request that is sent to it later finds out whether it
	 * still is.
	 */
	private static final long SILENCE_TERM_MS = 1_000;

	/** Prefill time from which on a prompt counts as pending, in milliseconds. */
	private static final double MIN_PREFILL_MS = 0.5;

	private final UnavailabilityRegistry unavailability;

	private UpstreamEntry entry;

	private String incarnation;

	// What the entry and the registry state of this incarnation, as of the registry's
	// change with that number.
	private long knownChanges = -1;

	private boolean draining;

	private long backoffUntilMs;

	private int inFlight;

	private double pendingPrefillMs;

	private double errorRate;

	private long ejectedUntilMs;

	private long ejectionMs = INITIAL_EJECTION_MS;

	private @Nullable LoadReport report;

	private int reportedWaiting;

	private int reportedInFlight;

	private double reportedSlowdown = LoadReport.USUAL_SLOWDOWN;

	private long reportedAtMs;

	private long silentUntilMs;

	private long lastHeardMs;

	private final HashedName name;

	private final long nameHash;

	private long warmAtMs;

	UpstreamState(UpstreamEntry entry, UnavailabilityRegistry unavailability, long nowMs) {
		this.unavailability = unavailability;
		this.entry = entry;
		this.incarnation = entry.incarnation();
		this.name = HashedName.of(entry.id());
		this.nameHash = this.name.hash();
		this.warmAtMs = nowMs + entry.coldMs();
		this.lastHeardMs = nowMs;
	}

	/**
	 * Return the upstream's entry.
	 * @return the latest entry in the list
	 */
	public UpstreamEntry entry() {
		return this.entry;
	}

	// An entry with an unchanged cold time was read again and does not restart the cold
	// start.
	void update(UpstreamEntry updated, long nowMs) {
		if (updated.coldMs() != this.entry.coldMs()) {
			this.warmAtMs = nowMs + updated.coldMs();
		}
		this.entry = updated;
		this.incarnation = updated.incarnation();
		this.knownChanges = -1;
	}

	HashedName name() {
		return this.name;
	}

	long nameHash() {
		return this.nameHash;
	}

	/**
	 * Return the remaining time of the upstream's cold start.
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return the remaining time in milliseconds; 0 if it is warm
	 */
	public long remainingColdMs(long nowMs) {
		return Math.max(this.warmAtMs - nowMs, 0);
	}

	/**
	 * Return whether the upstream is in its cold start, in which it tolerates only a low
	 * request rate.
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return true if it is cold
	 */
	public boolean isCold(long nowMs) {
		return remainingColdMs(nowMs) > 0;
	}

	/**
	 * Return whether the upstream may receive new requests.
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return false if it is draining, backing off, ejected as unreachable or silent
	 */
	public boolean isUsable(long nowMs) {
		return acceptsInMs(nowMs) == 0 && nowMs >= this.ejectedUntilMs && !isSilent(nowMs);
	}

	/**
	 * Return the time until the upstream accepts requests, by its own statements.
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return the time in milliseconds; 0 if it accepts them now,
	 * {@link UnavailabilityRegistry#NEVER} if it is draining
	 */
	public long acceptsInMs(long nowMs) {
		return isDraining() ? UnavailabilityRegistry.NEVER : Math.max(this.backoffUntilMs - nowMs, 0);
	}

	boolean isDraining() {
		readStatements();
		return this.draining;
	}

	// Each choice asks every candidate, so the registry is searched only after a change.
	private void readStatements() {
		long changes = this.unavailability.changes();
		if (changes != this.knownChanges) {
			this.knownChanges = changes;
			this.draining = this.entry.draining() || this.unavailability.isDraining(this.incarnation);
			this.backoffUntilMs = this.unavailability.backoffUntilMs(this.incarnation);
		}
	}

	/**
	 * Record a sent request.
	 * @param prefillMs the estimated prefill time of its prompt, in milliseconds; 0 for
	 * plain requests
	 */
	public void onSend(double prefillMs) {
		this.inFlight++;
		this.pendingPrefillMs += prefillMs;
	}

	/**
	 * Record that the prefill of a request is done.
	 * @param prefillMs the time that was passed to {@link #onSend}, in milliseconds
	 */
	public void onPrefillDone(double prefillMs) {
		this.pendingPrefillMs -= prefillMs;
	}

	/** Record the end of a sent request, whatever its outcome. */
	public void onEnd() {
		this.inFlight--;
	}

	/** Record a complete reply. */
	public void onSuccess() {
		this.errorRate -= ERROR_RATE_WEIGHT * this.errorRate;
		this.ejectionMs = INITIAL_EJECTION_MS;
	}

	/** Record a reply that reports a failure of the upstream. */
	public void onError() {
		this.errorRate += ERROR_RATE_WEIGHT * (1 - this.errorRate);
	}

	/**
	 * Record that the upstream is unreachable, and eject it for some time.
	 * @param nowMs the current monotonic time, in milliseconds
	 */
	public void onUnreachable(long nowMs) {
		onError();
		this.ejectedUntilMs = nowMs + this.ejectionMs;
		this.ejectionMs = Math.min(this.ejectionMs * 2, MAX_EJECTION_MS);
	}

	/**
	 * Record that a request waits for the upstream for longer than expected. The upstream
	 * counts as silent, but not as failed, unless it has sent something else meanwhile.
	 * @param sinceMs when it last sent something on the request, in monotonic time
	 * @param nowMs the current monotonic time, in milliseconds
	 */
	public void onSilent(long sinceMs, long nowMs) {
		if (sinceMs >= this.lastHeardMs) {
			this.silentUntilMs = nowMs + SILENCE_TERM_MS;
		}
	}

	/**
	 * Record that the upstream has sent something.
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return for how long it was silent, in milliseconds; 0 if it was not
	 */
	public long onHeard(long nowMs) {
		long silentMs = isSilent(nowMs) ? nowMs - this.lastHeardMs : 0;
		this.silentUntilMs = 0;
		this.lastHeardMs = nowMs;
		return silentMs;
	}

	/**
	 * Return when the upstream last sent something to this VM.
	 * @return the monotonic time, in milliseconds; when it was listed if it has sent
	 * nothing
	 */
	public long lastHeardMs() {
		return this.lastHeardMs;
	}

	/**
	 * Return whether the upstream is silent under a request of this VM.
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return true from the time when a request waits for too long until the upstream
	 * sends something, or no request waits any more
	 */
	public boolean isSilent(long nowMs) {
		return nowMs < this.silentUntilMs;
	}

	/**
	 * Record a load report of the upstream.
	 * @param updated the report
	 * @param nowMs the current monotonic time, in milliseconds
	 */
	public void onReport(LoadReport updated, long nowMs) {
		this.report = updated;
		this.reportedWaiting = updated.waiting();
		this.reportedInFlight = this.inFlight;
		this.reportedSlowdown = Math.min(Math.max(updated.slowdown(), MIN_SLOWDOWN), MAX_SLOWDOWN);
		this.reportedAtMs = nowMs;
	}

	/**
	 * Return the latest load report.
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return the report; empty if there is none or it has expired
	 */
	public Optional<LoadReport> report(long nowMs) {
		return (nowMs - this.reportedAtMs > REPORT_TTL_MS) ? Optional.empty() : Optional.ofNullable(this.report);
	}

	// Requests that wait by the latest report; 0 if there is none or it has expired.
	int reportedWaiting(long nowMs) {
		return (nowMs - this.reportedAtMs > REPORT_TTL_MS) ? 0 : this.reportedWaiting;
	}

	/**
	 * Return how long work is believed to take at the upstream, by its latest report. The
	 * figure fades to the usual one within the time in which speeds change.
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return a multiple of the usual time; 1 if no other is stated or it has faded
	 */
	public double slowdown(long nowMs) {
		if (this.reportedSlowdown == LoadReport.USUAL_SLOWDOWN) {
			return LoadReport.USUAL_SLOWDOWN;
		}
		double remaining = Math.max(1 - (nowMs - this.reportedAtMs) / SLOWDOWN_FADE_MS, 0);
		return LoadReport.USUAL_SLOWDOWN + (this.reportedSlowdown - LoadReport.USUAL_SLOWDOWN) * Math.min(remaining, 1);
	}

	boolean hasReport(long nowMs) {
		return this.report != null && nowMs - this.reportedAtMs <= REPORT_TTL_MS;
	}

	// Requests at the upstream: the latest report and what this VM has sent since.
	int expectedLoad(long nowMs) {
		LoadReport latest = this.report;
		if (latest == null || !hasReport(nowMs)) {
			return this.inFlight;
		}
		int sentSince = Math.max(this.inFlight - this.reportedInFlight, 0);
		return Math.max(this.inFlight, latest.running() + latest.waiting() + sentSince);
	}

	/**
	 * Return the number of requests that this VM has in flight at the upstream.
	 * @return the count
	 */
	public int inFlight() {
		return this.inFlight;
	}

	/**
	 * Return the estimated prefill time of the prompts that this VM has sent and whose
	 * prefill is not done.
	 * @return the time in milliseconds
	 */
	public double pendingPrefillMs() {
		return this.pendingPrefillMs;
	}

	/**
	 * Return whether this VM has sent prompts whose prefill is not done.
	 * @return false if nothing but rounding errors remains of their times
	 */
	public boolean hasPendingPrefill() {
		return this.pendingPrefillMs > MIN_PREFILL_MS;
	}

	/**
	 * Return the moving average of the failure rate of replies.
	 * @return a value between 0 and 1
	 */
	public double errorRate() {
		return this.errorRate;
	}

}
