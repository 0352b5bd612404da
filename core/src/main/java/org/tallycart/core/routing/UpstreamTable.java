package org.tallycart.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.tallycart.core.declaration.Service;
import org.tallycart.core.declaration.Upstream;
import org.tallycart.core.membership.RendezvousHash;

/**
 * Load, health and draining state of all upstreams, as known to one VM.
 * <p>
 * Invariants: a draining upstream is never a candidate; at most half of a service's
 * upstreams are ejected for high latency, and ejected ones remain candidates if there are
 * no others. Thread-safe.
 *
 * @since 0.1
 */
public final class UpstreamTable {

	/** An upstream with this multiple of the peers' median latency is ejected. */
	private static final double SLOW_FACTOR = 3;

	/**
	 * Ten times the minimum gap to the median latency for an ejection, in milliseconds
	 * for each unit of work.
	 */
	private static final double MIN_GAP_MS = 20;

	private final String vm;

	private final String domain;

	private final int subsetSize;

	private final Map<String, UpstreamHealth> health = new HashMap<>();

	private final Map<String, List<String>> services = new HashMap<>();

	private final Set<String> draining = new HashSet<>();

	private UpstreamTable(String vm, String domain, int subsetSize) {
		this.vm = vm;
		this.domain = domain;
		this.subsetSize = subsetSize;
	}

	/**
	 * Create an empty table.
	 * @param vm the name of the VM
	 * @param domain the VM's failure domain
	 * @param subsetSize maximum number of upstreams of a service that this VM uses
	 * @return the table
	 */
	public static UpstreamTable create(String vm, String domain, int subsetSize) {
		return new UpstreamTable(vm, domain, subsetSize);
	}

	/**
	 * Update the declared services. The state of upstreams that are unchanged is kept.
	 * @param declared the services
	 */
	public synchronized void update(Collection<Service> declared) {
		Map<String, UpstreamHealth> next = new HashMap<>();
		this.services.clear();
		for (Service service : declared) {
			List<Upstream> subset = subset(service);
			this.services.put(service.id(), subset.stream().map(Upstream::id).toList());
			for (Upstream upstream : subset) {
				UpstreamHealth state = this.health.get(upstream.id());
				boolean unchanged = state != null && state.upstream().equals(upstream);
				next.put(upstream.id(), (state != null && unchanged) ? state : new UpstreamHealth(upstream));
			}
		}
		this.health.clear();
		this.health.putAll(next);
	}

	private List<Upstream> subset(Service service) {
		if (service.upstreams().size() <= this.subsetSize) {
			return service.upstreams();
		}
		Map<String, Upstream> byId = service.upstreams()
			.stream()
			.collect(Collectors.toMap(Upstream::id, (upstream) -> upstream));
		return RendezvousHash.top(this.vm, byId.keySet(), this.subsetSize)
			.stream()
			.map((id) -> service.upstreams().stream().filter((upstream) -> upstream.id().equals(id)).findFirst())
			.flatMap(Optional::stream)
			.toList();
	}

	/**
	 * Mark an upstream as draining. The mark is permanent.
	 * @param upstreamId the id of the upstream
	 * @return true if it was not marked before
	 */
	public synchronized boolean markDraining(String upstreamId) {
		return this.draining.add(upstreamId);
	}

	/**
	 * Return the upstreams that are marked as draining.
	 * @return their ids
	 */
	public synchronized Set<String> drainingUpstreams() {
		return Set.copyOf(this.draining);
	}

	/**
	 * Return the upstreams of a service that are eligible for a call.
	 * @param serviceId the id of the service
	 * @param tried ids of the upstreams that the stage call has tried already
	 * @param nowMs current time on the monotonic clock, in milliseconds
	 * @return the candidates; ejected upstreams are included only if there are no others
	 */
	public synchronized List<Candidate> candidates(String serviceId, Set<String> tried, long nowMs) {
		List<Candidate> usable = new ArrayList<>();
		List<Candidate> ejected = new ArrayList<>();
		for (String id : this.services.getOrDefault(serviceId, List.of())) {
			UpstreamHealth state = this.health.get(id);
			if (state == null || tried.contains(id) || this.draining.contains(id)) {
				continue;
			}
			(state.isUsable(nowMs) ? usable : ejected).add(state.toCandidate(nowMs, this.domain));
		}
		return usable.isEmpty() ? ejected : usable;
	}

	/**
	 * Record the start of a call.
	 * @param upstreamId the id of the upstream
	 */
	public synchronized void onStart(String upstreamId) {
		UpstreamHealth state = this.health.get(upstreamId);
		if (state != null) {
			state.onStart();
		}
	}

	/**
	 * Record a successful call.
	 * @param serviceId the id of the service
	 * @param upstreamId the id of the upstream
	 * @param work amount of work that the latency is divided by for comparison, such as
	 * the number of tokens; at least 1 is used
	 * @param millis latency of the call, in milliseconds
	 * @param nowMs current time on the monotonic clock, in milliseconds
	 * @return true if the upstream was ejected for high latency
	 */
	public synchronized boolean onSuccess(String serviceId, String upstreamId, double work, long millis, long nowMs) {
		UpstreamHealth state = this.health.get(upstreamId);
		if (state == null) {
			return false;
		}
		state.onEnd();
		state.onSuccess();
		state.onSample(work, millis);
		return ejectIfSlow(serviceId, state, nowMs);
	}

	/**
	 * Record a timeout of a call. Its latency is at least the time waited.
	 * @param serviceId the id of the service
	 * @param upstreamId the id of the upstream
	 * @param work amount of work that the latency is divided by for comparison
	 * @param millis time waited, in milliseconds
	 * @param nowMs current time on the monotonic clock, in milliseconds
	 * @return true if the upstream was ejected for high latency
	 */
	public synchronized boolean onTimeout(String serviceId, String upstreamId, double work, long millis, long nowMs) {
		UpstreamHealth state = this.health.get(upstreamId);
		if (state == null) {
			return false;
		}
		state.onEnd();
		state.onSample(work, millis);
		return ejectIfSlow(serviceId, state, nowMs);
	}

	private boolean ejectIfSlow(String serviceId, UpstreamHealth state, long nowMs) {
		if (state.samples() < state.requiredSamples()) {
			return false;
		}
		List<UpstreamHealth> peers = this.services.getOrDefault(serviceId, List.of())
			.stream()
			.map(this.health::get)
			.filter((peer) -> peer != null && peer != state)
			.toList();
		List<Double> latencies = peers.stream()
			.filter((peer) -> peer.samples() >= UpstreamHealth.MIN_SAMPLES)
			.map(UpstreamHealth::latencyMs)
			.sorted()
			.toList();
		long ejected = peers.stream().filter((peer) -> peer.isEjected(nowMs)).count();
		if (latencies.isEmpty() || ejected + 1 > (peers.size() + 1) / 2) {
			return false;
		}
		double median = latencies.get(latencies.size() / 2);
		if (state.latencyMs() > median * SLOW_FACTOR && state.latencyMs() - median > MIN_GAP_MS / 10) {
			state.eject(nowMs);
			return true;
		}
		state.endProbation();
		return false;
	}

	/**
	 * Record a failed or cancelled call.
	 * @param upstreamId the id of the upstream
	 * @param blame whether the failure counts against the upstream
	 * @param nowMs current time on the monotonic clock, in milliseconds
	 * @return true if the upstream was ejected
	 */
	public synchronized boolean onFailure(String upstreamId, boolean blame, long nowMs) {
		UpstreamHealth state = this.health.get(upstreamId);
		if (state == null) {
			return false;
		}
		state.onEnd();
		return blame && state.onFailure(nowMs);
	}

	/**
	 * Record an upstream's load report.
	 * @param upstreamId the id of the upstream
	 * @param calls number of calls running and waiting at the upstream
	 * @param nowMs estimated time of the report on the monotonic clock, in milliseconds
	 */
	public synchronized void onReport(String upstreamId, int calls, long nowMs) {
		UpstreamHealth state = this.health.get(upstreamId);
		if (state != null) {
			state.onReport(calls, nowMs);
		}
	}

	/**
	 * Return the upstreams of all services that this VM uses.
	 * @return the upstreams
	 */
	public synchronized List<Upstream> upstreams() {
		return this.health.values().stream().map(UpstreamHealth::upstream).toList();
	}

	/**
	 * Return the total number of slots of a service's upstreams that are not draining.
	 * @param serviceId the id of the service
	 * @return the sum
	 */
	public synchronized int totalSlots(String serviceId) {
		return this.services.getOrDefault(serviceId, List.of())
			.stream()
			.filter((id) -> !this.draining.contains(id))
			.map(this.health::get)
			.filter((state) -> state != null)
			.mapToInt((state) -> state.upstream().slots())
			.sum();
	}

}
