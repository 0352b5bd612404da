package org.tallycart.core.serving;

import java.util.List;
import java.util.Optional;

/**
 * The head of an upstream's reply, decoded.
 *
 * @param status the status
 * @param requestId the request it answers, if it says so
 * @param notRun whether the upstream states that it did not run the request
 * @param stamped whether it carries the upstream's mark, which a success needs
 * @param load what the upstream said of its load
 * @param maxRequestsPerSecond the requests a second that the upstream takes from all VMs
 * together, for as long as its replies say so; where they say nothing it takes what comes
 * @param draining whether the upstream says that it leaves; said once, it holds for good
 * @param retryAfterMs for how long the upstream wants no requests from this VM, in
 * milliseconds from its reply
 * @param fields fields that a caller gets as they are
 * @since 0.1
 */
public record UpstreamReply(int status, Optional<String> requestId, boolean notRun, boolean stamped,
		Optional<LoadReport> load, ParsedField<Double> maxRequestsPerSecond, ParsedField<Boolean> draining,
		ParsedField<Long> retryAfterMs, List<HeaderField> fields) {

	/**
	 * Return whether the reply is a success.
	 * @return true for a signed status of the 2xx class
	 */
	public boolean success() {
		return this.status >= 200 && this.status < 300;
	}

}
