package org.tallycart.core.crash;

import java.util.Collection;
import java.util.List;

/**
 * A VM's report of an upstream crash.
 *
 * @param incarnation the incarnation of the upstream that crashed
 * @param endedMs time at which its connections were closed, on the monotonic clock, in
 * milliseconds
 * @param suspects requests that may have caused the crash
 * @since 0.1
 */
public record CrashReport(String incarnation, long endedMs, List<Suspect> suspects) {

	/**
	 * Create a report.
	 * @param incarnation the incarnation of the upstream that crashed
	 * @param endedMs time at which its connections were closed, on the monotonic clock,
	 * in milliseconds
	 * @param suspects requests that may have caused the crash
	 * @return the report
	 */
	public static CrashReport of(String incarnation, long endedMs, Collection<Suspect> suspects) {
		return new CrashReport(incarnation, endedMs, List.copyOf(suspects));
	}

}
