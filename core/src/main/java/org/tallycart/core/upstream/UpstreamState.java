package org.tallycart.core.upstream;

import java.util.Optional;

import org.jspecify.annotations.Nullable;
import org.tallycart.core.membership.HashedName;
import org.tallycart.core.serving.LoadReport;
import org.tallycart.core.serving.UpstreamEntry;

/**
 * What one VM knows of one incarnation of an upstream.
 * <p>
 * Invariant: an incarnation that has said that it leaves is never used again. Not
 * thread-safe: belongs to the directory's event loop.
 *
 * @since 0.1
 */
public final class UpstreamState {

	/**
	 * First time an upstream is left out after it could not be reached, in milliseconds.
	 */
	private static final long FIRST_EJECTION_MS = 300;

	/**
	 * Longest such time, in milliseconds: one that is back is found within two seconds.
	 */
	private static final long LONGEST_EJECTION_MS = 2_000;

	/**
	 * Weight of the newest outcome in the error rate: a dozen calls tell a failing one.
	 */
	private static final double ERROR_WEIGHT = 0.15;

	/** A report older than this says nothing, in milliseconds. */
	private static final long REPORT_TTL_MS = 1_000;

	private final UnavailabilityRegistry absences;

	private UpstreamEntry entry;

	private String incarnation;

	private int inFlight;

	private double readMsWaiting;

	private double errorRate;

	private long ejectedUntilMs;

	private long ejectionMs = FIRST_EJECTION_MS;

	private @Nullable LoadReport report;

	private long reportedAtMs;

	private final HashedName name;

	private long warmFromMs;

	UpstreamState(UpstreamEntry entry, UnavailabilityRegistry absences, long nowMs) {
		this.absences = absences;
		this.entry = entry;
		this.incarnation = entry.incarnation();
		this.name = HashedName.of(entry.id());
		this.warmFromMs = nowMs + entry.coldMs();
	}

	/**
	 * Return the upstream.
	 * @return its entry in the list
	 */
	public UpstreamEntry entry() {
		return this.entry;
	}

	// An entry that says the same as before is no news of how long the upstream stays
	// cold.
	void update(UpstreamEntry fresh, long nowMs) {
		if (fresh.coldMs() != this.entry.coldMs()) {
			this.warmFromMs = nowMs + fresh.coldMs();
		}
		this.entry = fresh;
		this.incarnation = fresh.incarnation();
	}

	HashedName name() {
		return this.name;
	}

	/**
	 * Return for how much longer the upstream stays cold.
	 * @param nowMs the steady clock
	 * @return milliseconds; 0 if it is warm
	 */
	public long remainingColdMs(long nowMs) {
		return Math.max(this.warmFromMs - nowMs, 0);
	}

	/**
	 * Return whether the upstream is cold: it bears few requests for some seconds after
	 * its start.
	 * @param nowMs the steady clock
	 * @return true if it is
	 */
	public boolean cold(long nowMs) {
		return remainingColdMs(nowMs) > 0;
	}

	/**
	 * Return whether the upstream may get new work.
	 * @param nowMs the steady clock
	 * @return false if it leaves or rests, or could not be reached lately
	 */
	public boolean isUsable(long nowMs) {
		return acceptsInMs(nowMs) == 0 && nowMs >= this.ejectedUntilMs;
	}

	/**
	 * Return when the upstream takes requests from this VM, by its own word.
	 * @param nowMs the steady clock
	 * @return milliseconds; 0 if it takes them now, {@link UnavailabilityRegistry#NEVER}
	 * if it leaves
	 */
	public long acceptsInMs(long nowMs) {
		return gone() ? UnavailabilityRegistry.NEVER : this.absences.remainingBackoffMs(this.incarnation, nowMs);
	}

	boolean gone() {
		return this.entry.draining() || this.absences.isDraining(this.incarnation);
	}

	/**
	 * Take note of a request that is sent.
	 * @param readMs how long its prompt takes to be read, in milliseconds; 0 for plain
	 * requests
	 */
	public void onSend(double readMs) {
		this.inFlight++;
		this.readMsWaiting += readMs;
	}

	/**
	 * Take note that a prompt has been read.
	 * @param readMs what was counted for it
	 */
	public void onPrefillDone(double readMs) {
		this.readMsWaiting -= readMs;
	}

	/** Take note that a request that was sent has ended, in whatever way. */
	public void onEnd() {
		this.inFlight--;
	}

	/** Take note of a whole answer. */
	public void onSuccess() {
		this.errorRate -= ERROR_WEIGHT * this.errorRate;
		this.ejectionMs = FIRST_EJECTION_MS;
	}

	/** Take note of an answer that reports a failure of the upstream. */
	public void onError() {
		this.errorRate += ERROR_WEIGHT * (1 - this.errorRate);
	}

	/**
	 * Take note that the upstream could not be reached, or fell silent.
	 * @param nowMs the steady clock
	 */
	public void onUnreachable(long nowMs) {
		onError();
		this.ejectedUntilMs = nowMs + this.ejectionMs;
		this.ejectionMs = Math.min(this.ejectionMs * 2, LONGEST_EJECTION_MS);
	}

	/**
	 * Take what the upstream said of its load.
	 * @param fresh the report
	 * @param nowMs the steady clock
	 */
	public void onReport(LoadReport fresh, long nowMs) {
		this.report = fresh;
		this.reportedAtMs = nowMs;
	}

	/**
	 * Return the latest report.
	 * @param nowMs the steady clock
	 * @return the report, unless it is too old to tell anything
	 */
	public Optional<LoadReport> report(long nowMs) {
		return (nowMs - this.reportedAtMs > REPORT_TTL_MS) ? Optional.empty() : Optional.ofNullable(this.report);
	}

	/**
	 * Return how many requests of this VM are there.
	 * @return the count
	 */
	public int inFlight() {
		return this.inFlight;
	}

	/**
	 * Return how long the prompts take that this VM has sent there and that have not been
	 * read.
	 * @return milliseconds
	 */
	public double readMsWaiting() {
		return this.readMsWaiting;
	}

	/**
	 * Return the share of recent answers that reported a failure.
	 * @return between 0 and 1
	 */
	public double errorRate() {
		return this.errorRate;
	}

}
