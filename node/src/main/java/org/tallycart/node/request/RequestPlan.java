package org.tallycart.node.request;

import java.util.Optional;

import org.tallycart.core.crash.ContentFingerprints;
import org.tallycart.core.crash.Suspect;
import org.tallycart.core.serving.CallerRequest;
import org.tallycart.core.serving.RequestPriority;
import org.tallycart.core.serving.Route;
import org.tallycart.core.serving.Workspace;
import org.tallycart.core.stream.StreamOrigin;

/**
 * Decisions made when a request arrives, based on one version of the configuration.
 *
 * @param request the request
 * @param content identifies the content of the request, whatever its id
 * @param route the matching route
 * @param service the service that runs it
 * @param softwareVersion the version that began the stream, if the caller resumes one
 * @param workspace the workspace of the caller's key, if any
 * @param arrivedMs the arrival time, on the monotonic clock
 * @param deadlineMs when the response has to be complete, on the monotonic clock
 * @since 0.1
 */
public record RequestPlan(CallerRequest request, ContentFingerprints content, Route route, String service,
		Optional<String> softwareVersion, Optional<Workspace> workspace, long arrivedMs, long deadlineMs) {

	/**
	 * Return this plan for a stream that goes on where it began.
	 * @param origin where the stream began
	 * @return the plan
	 */
	RequestPlan resumedAt(StreamOrigin origin) {
		return new RequestPlan(this.request, this.content, this.route, origin.service(),
				Optional.of(origin.softwareVersion()), this.workspace, this.arrivedMs, this.deadlineMs);
	}

	/**
	 * Return the id by which callers name the stream when they resume it.
	 * @return the id of the request that began it
	 */
	String streamId() {
		return this.request.resumedRequest().orElse(this.request.id());
	}

	Suspect asSuspect(long sentMs) {
		return new Suspect(this.content.request(), this.content.parts(), this.request.id(), sentMs,
				Suspect.NOT_ANSWERED);
	}

	/**
	 * Return the priority of the request, from its workspace and route.
	 * @return the priority
	 */
	public RequestPriority priority() {
		return RequestPriority.of(this.workspace, this.route);
	}

	/**
	 * Return when the response has to start; the caller disconnects after it.
	 * @return a time on the monotonic clock
	 */
	public long firstEventDeadlineMs() {
		return this.arrivedMs + Math.min(this.deadlineMs - this.arrivedMs, this.route.firstEventTimeoutMs());
	}

	/**
	 * Return until when a response meets the objective of the route.
	 * @return a time on the monotonic clock
	 */
	public long objectiveMs() {
		return this.arrivedMs + this.route.objectiveMs();
	}

}
