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
 * What one VM knows of all upstreams: load, health, and which are leaving.
 * <p>
 * Invariants: an upstream that is leaving is never a candidate; of a service's upstreams
 * at most half are ejected for being slow, so that ejection cannot empty a pool.
 * Thread-safe.
 *
 * @since 0.1
 */
public final class UpstreamTable {

	private static final double SLOWER_THAN_PEERS = 3;

	private static final double MIN_GAP_MS = 20;

	private final String vm;

	private final String domain;

	private final int subsetSize;

	private final Map<String, UpstreamHealth> health = new HashMap<>();

	private final Map<String, List<String>> services = new HashMap<>();

	private final Set<String> leaving = new HashSet<>();

	private UpstreamTable(String vm, String domain, int subsetSize) {
		this.vm = vm;
		this.domain = domain;
		this.subsetSize = subsetSize;
	}

	/**
	 * Create an empty table.
	 * @param vm the VM that uses it
	 * @param domain the VM's failure domain
	 * @param subsetSize how many upstreams of a service this VM uses, at most
	 * @return the table
	 */
	public static UpstreamTable create(String vm, String domain, int subsetSize) {
		return new UpstreamTable(vm, domain, subsetSize);
	}

	/**
	 * Adopt the declared services; what is known of upstreams that stay is kept.
	 * @param declared the services
	 */
	public synchronized void update(Collection<Service> declared) {
		Map<String, UpstreamHealth> next = new HashMap<>();
		this.services.clear();
		for (Service service : declared) {
			List<Upstream> subset = subset(service);
			this.services.put(service.id(), subset.stream().map(Upstream::id).toList());
			for (Upstream upstream : subset) {
				UpstreamHealth known = this.health.get(upstream.id());
				boolean same = known != null && known.upstream().equals(upstream);
				next.put(upstream.id(), (known != null && same) ? known : new UpstreamHealth(upstream));
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
	 * Mark an upstream as leaving, for good.
	 * @param upstreamId the upstream
	 * @return whether this was news
	 */
	public synchronized boolean markLeaving(String upstreamId) {
		return this.leaving.add(upstreamId);
	}

	/**
	 * Return the upstreams known to be leaving.
	 * @return their ids
	 */
	public synchronized Set<String> leaving() {
		return Set.copyOf(this.leaving);
	}

	/**
	 * Return the upstreams of a service that may be chosen now.
	 * @param serviceId the service
	 * @param tried upstreams that this stage call has tried already
	 * @param nowMs the monotonic clock now
	 * @return the candidates, without ejected ones while others are left
	 */
	public synchronized List<Candidate> candidates(String serviceId, Set<String> tried, long nowMs) {
		List<Candidate> usable = new ArrayList<>();
		List<Candidate> ejected = new ArrayList<>();
		for (String id : this.services.getOrDefault(serviceId, List.of())) {
			UpstreamHealth known = this.health.get(id);
			if (known == null || tried.contains(id) || this.leaving.contains(id)) {
				continue;
			}
			(known.usable(nowMs) ? usable : ejected).add(known.candidate(nowMs, this.domain));
		}
		return usable.isEmpty() ? ejected : usable;
	}

	/**
	 * Record that a call begins.
	 * @param upstreamId the upstream
	 */
	public synchronized void onStart(String upstreamId) {
		UpstreamHealth known = this.health.get(upstreamId);
		if (known != null) {
			known.onStart();
		}
	}

	/**
	 * Record that a call ended well.
	 * @param serviceId the service
	 * @param upstreamId the upstream
	 * @param work what the latency is to be divided by before upstreams are compared,
	 * such as the number of tokens
	 * @param millis how long it took
	 * @param nowMs the monotonic clock now
	 * @return whether the upstream was ejected for being slower than its peers
	 */
	public synchronized boolean onSuccess(String serviceId, String upstreamId, double work, long millis, long nowMs) {
		UpstreamHealth known = this.health.get(upstreamId);
		if (known == null) {
			return false;
		}
		known.onEnd();
		known.onSuccess();
		known.onSample(work, millis);
		return ejectIfSlow(serviceId, known, nowMs);
	}

	/**
	 * Record that a call was given up because it took too long: its latency is at least
	 * the time it had.
	 * @param serviceId the service
	 * @param upstreamId the upstream
	 * @param work what the latency is to be divided by before upstreams are compared
	 * @param millis how long it had
	 * @param nowMs the monotonic clock now
	 * @return whether the upstream was ejected for being slower than its peers
	 */
	public synchronized boolean onTimeout(String serviceId, String upstreamId, double work, long millis, long nowMs) {
		UpstreamHealth known = this.health.get(upstreamId);
		if (known == null) {
			return false;
		}
		known.onEnd();
		known.onSample(work, millis);
		return ejectIfSlow(serviceId, known, nowMs);
	}

	private boolean ejectIfSlow(String serviceId, UpstreamHealth known, long nowMs) {
		if (known.samples() < known.samplesToJudge()) {
			return false;
		}
		List<UpstreamHealth> peers = this.services.getOrDefault(serviceId, List.of())
			.stream()
			.map(this.health::get)
			.filter((peer) -> peer != null && peer != known)
			.toList();
		List<Double> latencies = peers.stream()
			.filter((peer) -> peer.samples() >= UpstreamHealth.SAMPLES_TO_COMPARE)
			.map(UpstreamHealth::latencyMs)
			.sorted()
			.toList();
		long ejected = peers.stream().filter((peer) -> peer.ejected(nowMs)).count();
		if (latencies.isEmpty() || ejected + 1 > (peers.size() + 1) / 2) {
			return false;
		}
		double median = latencies.get(latencies.size() / 2);
		if (known.latencyMs() > median * SLOWER_THAN_PEERS && known.latencyMs() - median > MIN_GAP_MS / 10) {
			known.eject(nowMs);
			return true;
		}
		known.onProven();
		return false;
	}

	/**
	 * Record that a call failed or was given up.
	 * @param upstreamId the upstream
	 * @param blame whether the upstream is to blame
	 * @param nowMs the monotonic clock now
	 * @return whether the upstream was ejected
	 */
	public synchronized boolean onFailure(String upstreamId, boolean blame, long nowMs) {
		UpstreamHealth known = this.health.get(upstreamId);
		if (known == null) {
			return false;
		}
		known.onEnd();
		return blame && known.onFailure(nowMs);
	}

	/**
	 * Record an upstream's report of its load.
	 * @param upstreamId the upstream
	 * @param calls calls running and waiting there
	 * @param nowMs the monotonic clock when the report was made, as well as is known
	 */
	public synchronized void onReport(String upstreamId, int calls, long nowMs) {
		UpstreamHealth known = this.health.get(upstreamId);
		if (known != null) {
			known.onReport(calls, nowMs);
		}
	}

	/**
	 * Return the upstreams this VM uses.
	 * @return the upstreams
	 */
	public synchronized List<Upstream> upstreams() {
		return this.health.values().stream().map(UpstreamHealth::upstream).toList();
	}

	/**
	 * Return the slots of a service's usable upstreams.
	 * @param serviceId the service
	 * @return the sum
	 */
	public synchronized int totalSlots(String serviceId) {
		return this.services.getOrDefault(serviceId, List.of())
			.stream()
			.filter((id) -> !this.leaving.contains(id))
			.map(this.health::get)
			.filter((known) -> known != null)
			.mapToInt((known) -> known.upstream().slots())
			.sum();
	}

}
