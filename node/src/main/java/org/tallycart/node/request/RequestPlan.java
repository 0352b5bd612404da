package org.tallycart.node.request;

import java.util.Optional;

import org.tallycart.core.crash.Fingerprint;
import org.tallycart.core.crash.Suspect;
import org.tallycart.core.serving.CallerRequest;
import org.tallycart.core.serving.RequestPriority;
import org.tallycart.core.serving.Route;
import org.tallycart.core.serving.Workspace;

/**
 * What is decided about a request when it arrives, by one version of the configuration.
 *
 * @param request the request
 * @param fingerprint what it asks for, and who asks
 * @param route its route
 * @param service the service that runs it
 * @param workspace the workspace that holds the caller's key
 * @param arrivedMs when it arrived, on the steady clock
 * @param endMs when it has to have its final answer, on the steady clock
 * @since 0.1
 */
public record RequestPlan(CallerRequest request, Fingerprint fingerprint, Route route, String service,
		Optional<Workspace> workspace, long arrivedMs, long endMs) {

	Suspect asSuspect(long sentMs) {
		return new Suspect(this.fingerprint, this.request.id(), sentMs);
	}

	/**
	 * Return how urgent the request is.
	 * @return the rank
	 */
	public RequestPriority rank() {
		return RequestPriority.of(this.workspace, this.route);
	}

	/**
	 * Return when the answer has to begin, or its caller leaves.
	 * @return a time on the steady clock
	 */
	public long beginsByMs() {
		return this.arrivedMs + Math.min(this.endMs - this.arrivedMs, this.route.firstEventTimeoutMs());
	}

	/**
	 * Return when an answer is still on time.
	 * @return a time on the steady clock
	 */
	public long objectiveMs() {
		return this.arrivedMs + this.route.objectiveMs();
	}

}
