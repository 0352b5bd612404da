package org.tallycart.core.serving;

import java.util.List;
import java.util.Optional;

/**
 * The decoded head of an upstream reply.
 *
 * @param status the HTTP status
 * @param requestId id of the request that is answered; empty if not stated
 * @param notRun whether the upstream states that it did not execute the request
 * @param stamped whether the reply carries the response stamp, which a success requires
 * @param load load reported by the upstream, with the usual slowdown unless a readable
 * one is stated
 * @param slowdown how long work takes at the upstream now, as a multiple of the usual
 * time, as stated with the load
 * @param maxRequestsPerSecond rate limit stated by the upstream in requests per second,
 * over all VMs together; applies only while its replies state it
 * @param maxRejectionsPerSecond the number of requests per second, over all VMs together,
 * that the upstream can reject for want of room without failing
 * @param draining whether the upstream states that it is draining; a single such
 * statement is final
 * @param retryAfterMs time during which the upstream asks for no requests from this VM,
 * in milliseconds from the reply
 * @param fields header fields passed to the caller unchanged
 * @since 0.1
 */
public record UpstreamReply(int status, Optional<String> requestId, boolean notRun, boolean stamped,
		Optional<LoadReport> load, ParsedField<Double> slowdown, ParsedField<Double> maxRequestsPerSecond,
		ParsedField<Double> maxRejectionsPerSecond, ParsedField<Boolean> draining, ParsedField<Long> retryAfterMs,
		List<HeaderField> fields) {

	/**
	 * Return whether the status is of the 2xx class.
	 * @return true if it is; {@link #stamped()} has to be checked in addition
	 */
	public boolean success() {
		return this.status >= 200 && this.status < 300;
	}

}
