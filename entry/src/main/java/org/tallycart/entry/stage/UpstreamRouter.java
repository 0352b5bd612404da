package org.tallycart.entry.stage;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;

import org.tallycart.core.declaration.BalancerKind;
import org.tallycart.core.declaration.Service;
import org.tallycart.core.declaration.Upstream;
import org.tallycart.core.policy.BuiltInPolicy;
import org.tallycart.core.policy.UpstreamFacts;
import org.tallycart.core.routing.Balancer;
import org.tallycart.core.routing.Candidate;
import org.tallycart.core.routing.LeastInFlightBalancer;
import org.tallycart.core.routing.LeastLoadBalancer;
import org.tallycart.core.routing.RoundRobinBalancer;
import org.tallycart.core.routing.TwoChoicesBalancer;
import org.tallycart.core.routing.UpstreamTable;
import org.tallycart.runtime.event.EventCode;
import org.tallycart.runtime.event.EventLog;
import org.tallycart.runtime.process.Clocks;

/**
 * Chooses upstreams for calls and updates their state from the results.
 * <p>
 * Thread-safe.
 *
 * @since 0.1
 */
public final class UpstreamRouter {

	private static final double REPORT_HALF_LIFE_MS = 1_000;

	private final UpstreamTable table;

	private final EventLog events;

	private final Consumer<String> drainingListener;

	private final Map<BalancerKind, Balancer> balancers = new EnumMap<>(BalancerKind.class);

	private UpstreamRouter(UpstreamTable table, EventLog events, Consumer<String> drainingListener) {
		this.table = table;
		this.events = events;
		this.drainingListener = drainingListener;
		this.balancers.put(BalancerKind.LEAST_LOAD_AGED, LeastLoadBalancer.withAgeDiscount(REPORT_HALF_LIFE_MS));
		this.balancers.put(BalancerKind.TWO_CHOICES_AGED, TwoChoicesBalancer.withAgeDiscount(REPORT_HALF_LIFE_MS));
		this.balancers.put(BalancerKind.TWO_CHOICES, TwoChoicesBalancer.withoutAgeDiscount());
		this.balancers.put(BalancerKind.LEAST_IN_FLIGHT, new LeastInFlightBalancer());
		this.balancers.put(BalancerKind.ROUND_ROBIN, new RoundRobinBalancer());
	}

	/**
	 * Create a router.
	 * @param table the state of the upstreams
	 * @param events the event log of the process
	 * @param drainingListener receives the id of each upstream that states it is draining
	 * @return the router
	 */
	public static UpstreamRouter create(UpstreamTable table, EventLog events, Consumer<String> drainingListener) {
		return new UpstreamRouter(table, events, drainingListener);
	}

	/**
	 * Choose an upstream for a call and count the call as in flight there.
	 * @param context the request
	 * @param service the service
	 * @param tried ids of upstreams that this stage call has already tried
	 * @return the upstream, or empty if none is available
	 */
	Optional<Upstream> choose(RequestContext context, Service service, Set<String> tried) {
		List<Candidate> candidates = this.table.candidates(service.id(), tried, Clocks.SYSTEM.monotonicMs());
		if (candidates.isEmpty()) {
			return Optional.empty();
		}
		if (context.policy() != BuiltInPolicy.INSTANCE) {
			candidates = scored(context, candidates);
		}
		Balancer balancer = this.balancers.getOrDefault(service.balancer(), new LeastInFlightBalancer());
		Upstream chosen = balancer.choose(candidates, (bound) -> ThreadLocalRandom.current().nextInt(bound)).upstream();
		this.table.onStart(chosen.id());
		return Optional.of(chosen);
	}

	private static List<Candidate> scored(RequestContext context, List<Candidate> candidates) {
		List<Candidate> scored = new ArrayList<>();
		for (Candidate candidate : candidates) {
			Upstream upstream = candidate.upstream();
			double score = context.policy()
				.place(context.facts(), new UpstreamFacts(upstream.id(), upstream.domain(), candidate.sameDomain(),
						candidate.inFlight(), candidate.reportedCalls(), candidate.reportAgeMs(), upstream.slots()));
			scored.add(new Candidate(upstream, candidate.inFlight(), candidate.reportedCalls(),
					candidate.inFlightAtReport(), candidate.reportAgeMs(), candidate.sameDomain(), score));
		}
		return scored;
	}

	void onSuccess(Service service, Upstream upstream, double work, long millis) {
		if (this.table.onSuccess(service.id(), upstream.id(), work, millis, Clocks.SYSTEM.monotonicMs())) {
			this.events.emit(EventCode.UPSTREAM_EJECTED, upstream.id() + " is slower than its peers");
		}
	}

	void onTimeout(Service service, Upstream upstream, double work, long millis) {
		if (this.table.onTimeout(service.id(), upstream.id(), work, millis, Clocks.SYSTEM.monotonicMs())) {
			this.events.emit(EventCode.UPSTREAM_EJECTED, upstream.id() + " is slower than its peers");
		}
	}

	void onFailure(Upstream upstream, boolean blame, String message) {
		if (this.table.onFailure(upstream.id(), blame, Clocks.SYSTEM.monotonicMs())) {
			this.events.emit(EventCode.UPSTREAM_EJECTED, upstream.id() + " " + message);
		}
	}

	/**
	 * Handle the statement of an upstream that it is draining.
	 * @param upstreamId id of the upstream
	 */
	public void onDraining(String upstreamId) {
		if (this.table.markDraining(upstreamId)) {
			this.events.emit(EventCode.UPSTREAM_LEAVING, upstreamId);
			this.drainingListener.accept(upstreamId);
		}
	}

	/**
	 * Return the maximum number of calls that this VM may have in flight at a service.
	 * @param service the service
	 * @param activeVms number of VMs that share the service
	 * @param overcommit calls in flight per slot, over all VMs
	 * @return the limit, at least 1
	 */
	int maxInFlight(Service service, int activeVms, double overcommit) {
		return (int) Math.max(Math.ceil(this.table.totalSlots(service.id()) * overcommit / Math.max(activeVms, 1)), 1);
	}

}
