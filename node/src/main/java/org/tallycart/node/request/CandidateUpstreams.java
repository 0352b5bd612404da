package org.tallycart.node.request;

import java.util.List;
import java.util.Optional;

import org.tallycart.core.serving.RequestKind;
import org.tallycart.core.upstream.UnavailabilityRegistry;
import org.tallycart.core.upstream.UpstreamState;

/**
 * The upstreams that one request may be sent to. A stream that has begun may go on only
 * at the software version that began it, because events of two versions do not fit
 * together.
 * <p>
 * Invariant: once a version is required, upstreams of other versions are never
 * candidates. Not thread-safe: confined to the event loop.
 */
final class CandidateUpstreams {

	private final ServingContext context;

	private final String service;

	private final boolean streaming;

	private Optional<String> requiredVersion;

	CandidateUpstreams(ServingContext context, RequestPlan plan) {
		this.context = context;
		this.service = plan.service();
		this.streaming = plan.route().kind() == RequestKind.STREAMING;
		this.requiredVersion = plan.softwareVersion();
	}

	/**
	 * Require a software version, unless one is required already.
	 * @param version the version that began the stream
	 */
	void requireVersion(String version) {
		if (this.requiredVersion.isEmpty()) {
			this.requiredVersion = Optional.of(version);
		}
	}

	/**
	 * Return the upstreams to which this VM may send the request now.
	 * @return the upstreams; empty if there is none; must not be modified
	 */
	List<UpstreamState> now() {
		long nowMs = this.context.loop().nowMs();
		return this.context.coldStartLimiter().admit(evenIfCold(), nowMs);
	}

	/**
	 * Return the upstreams that would be suitable, without the limit of those in cold
	 * start.
	 * @return the upstreams; empty if there is none; must not be modified
	 */
	List<UpstreamState> evenIfCold() {
		long nowMs = this.context.loop().nowMs();
		return (this.streaming && this.requiredVersion.isEmpty())
				? this.context.directory().candidatesForNewStreams(this.service, nowMs)
				: this.context.directory().candidates(this.service, this.requiredVersion, nowMs);
	}

	/**
	 * Return when the first of them accepts requests, as stated by the upstreams.
	 * @return milliseconds from now; 0 if one accepts requests now,
	 * {@link UnavailabilityRegistry#NEVER} if all drain or there is none
	 */
	long acceptsInMs() {
		return this.context.directory().acceptsInMs(this.service, this.requiredVersion, this.context.loop().nowMs());
	}

}
