package org.tallycart.core.crash;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * A VM's report of an upstream crash.
 *
 * @param incarnation the incarnation of the upstream that crashed
 * @param endedMs time at which its connections were closed, on the monotonic clock, in
 * milliseconds
 * @param suspects requests that may have caused the crash
 * @param readParts parts of the prompts of other requests that the upstream had answered
 * for a while, so that these parts have not caused the crash
 * @since 0.1
 */
public record CrashReport(String incarnation, long endedMs, List<Suspect> suspects, Set<Fingerprint> readParts) {

	/**
	 * Create a report.
	 * @param incarnation the incarnation of the upstream that crashed
	 * @param endedMs time at which its connections were closed, on the monotonic clock,
	 * in milliseconds
	 * @param suspects requests that may have caused the crash
	 * @return the report
	 */
	public static CrashReport of(String incarnation, long endedMs, Collection<Suspect> suspects) {
		return new CrashReport(incarnation, endedMs, List.copyOf(suspects), Set.of());
	}

	/**
	 * Return this report with parts that the upstream had read.
	 * @param parts the parts
	 * @return the report
	 */
	public CrashReport withReadParts(Collection<Fingerprint> parts) {
		return new CrashReport(this.incarnation, this.endedMs, this.suspects, Set.copyOf(parts));
	}

	/**
	 * Return whether this report tells of no request.
	 * @return true if there is neither a suspect nor a part that was read
	 */
	public boolean isEmpty() {
		return this.suspects.isEmpty() && this.readParts.isEmpty();
	}

	/**
	 * Return this report without some parts of prompts.
	 * @param excluded returns whether a part is left out
	 * @return the report, with all its requests
	 */
	public CrashReport withoutParts(Predicate<Fingerprint> excluded) {
		return new CrashReport(this.incarnation, this.endedMs,
				this.suspects.stream().map((suspect) -> suspect.withoutParts(excluded)).toList(), this.readParts);
	}

}
