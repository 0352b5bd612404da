package org.tallycart.core.link;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.tallycart.core.ini.Address;
import org.tallycart.core.membership.RendezvousHash;
import org.tallycart.core.serving.UpstreamEntry;

/**
 * Detects that a VM has lost its links to all upstreams, from the connections that it
 * opens to them.
 * <p>
 * Connections to several upstreams that fail, and silence while calls are in progress,
 * raise a suspicion, which probes of other upstreams confirm or refute. Replies on
 * connections that were open before do not refute it: they may outlive the ability to
 * open new ones.
 * <p>
 * Invariant: the VM counts as isolated only while no connection to any upstream has been
 * established since the first one that failed. Not thread-safe: confined to the event
 * loop.
 *
 * @since 0.1
 */
public final class UpstreamLinkMonitor {

	/** Number of upstreams that cannot be connected to before the others are probed. */
	private static final int SUSPICIOUS_FAILURES = 2;

	/** Number of other upstreams that are probed first to check a suspicion. */
	private static final int FIRST_PROBES = 1;

	/**
	 * Number of upstreams that are probed if the first probes fail. Many upstreams may
	 * have failed at once, while a few can be reached.
	 */
	private static final int SECOND_PROBES = 12;

	/** Time without a byte from any upstream that is suspicious, in milliseconds. */
	private static final long SILENCE_MS = 1_000;

	/** Least time between two checks, in milliseconds. */
	private static final long CHECK_INTERVAL_MS = 1_000;

	/** Time between two probes of an isolated VM, in milliseconds. */
	private static final long RECOVERY_PROBE_INTERVAL_MS = 400;

	private static final Comparator<Address> ADDRESS_ORDER = Comparator.comparing(Address::toString);

	private final Set<Address> failed = new HashSet<>();

	private final Set<Address> probing = new HashSet<>();

	private State state = State.CONNECTED;

	private int callsInProgress;

	private long lastReceivedMs;

	private long nextCheckMs = Long.MIN_VALUE;

	private int nextProbe;

	private boolean secondRound;

	/**
	 * Return the state of the links.
	 * @return the state
	 */
	public State state() {
		return this.state;
	}

	/**
	 * Return whether the VM has lost its links to all upstreams.
	 * @return true if it has
	 */
	public boolean isIsolated() {
		return this.state == State.ISOLATED;
	}

	/** Record that a connection to an upstream was established. */
	public void onConnected() {
		this.state = State.CONNECTED;
		this.failed.clear();
		this.probing.clear();
	}

	/**
	 * Record that a connection to an upstream could not be established.
	 * @param upstream the address of the upstream
	 */
	public void onConnectFailed(Address upstream) {
		this.failed.add(upstream);
		this.probing.remove(upstream);
	}

	/**
	 * Record that a call was sent to an upstream.
	 * @param nowMs the current monotonic time, in milliseconds
	 */
	public void onCallStarted(long nowMs) {
		if (this.callsInProgress == 0) {
			this.lastReceivedMs = Math.max(this.lastReceivedMs, nowMs);
		}
		this.callsInProgress++;
	}

	/** Record that a call to an upstream ended. */
	public void onCallEnded() {
		this.callsInProgress--;
	}

	/**
	 * Record that bytes of an upstream were received.
	 * @param nowMs the current monotonic time, in milliseconds
	 */
	public void onReceived(long nowMs) {
		this.lastReceivedMs = nowMs;
	}

	/**
	 * Return for how long no upstream has sent a byte while calls were in progress.
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return milliseconds; 0 if no call is in progress
	 */
	public long silentForMs(long nowMs) {
		return (this.callsInProgress > 0) ? nowMs - this.lastReceivedMs : 0;
	}

	/**
	 * Return the number of upstreams that could not be connected to since a connection
	 * was last established.
	 * @return the count
	 */
	public int failedCount() {
		return this.failed.size();
	}

	/**
	 * Update the state. To be called after each failure and periodically.
	 * @param upstreams all upstreams that may be connected to
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return the addresses to probe now; the results are to be recorded as connections
	 */
	public List<Address> update(Collection<UpstreamEntry> upstreams, long nowMs) {
		if (this.state == State.ISOLATED) {
			return (nowMs >= this.nextCheckMs) ? recoveryProbe(upstreams, nowMs) : List.of();
		}
		List<Address> probes = List.of();
		if (this.state == State.CONNECTED && nowMs >= this.nextCheckMs && isSuspicious(upstreams, nowMs)) {
			probes = startCheck(upstreams, nowMs);
		}
		if (this.state == State.SUSPECTED && this.probing.isEmpty() && !this.secondRound) {
			this.secondRound = true;
			probes = startProbes(upstreams, SECOND_PROBES);
		}
		if (this.state == State.SUSPECTED && this.probing.isEmpty()) {
			this.state = State.ISOLATED;
			this.nextCheckMs = nowMs + RECOVERY_PROBE_INTERVAL_MS;
		}
		return probes;
	}

	private boolean isSuspicious(Collection<UpstreamEntry> upstreams, long nowMs) {
		int required = Math.min(SUSPICIOUS_FAILURES, upstreams.size());
		return required > 0 && (this.failed.size() >= required || silentForMs(nowMs) >= SILENCE_MS);
	}

	private List<Address> startCheck(Collection<UpstreamEntry> upstreams, long nowMs) {
		this.state = State.SUSPECTED;
		this.nextCheckMs = nowMs + CHECK_INTERVAL_MS;
		this.secondRound = false;
		return startProbes(upstreams, FIRST_PROBES);
	}

	private List<Address> startProbes(Collection<UpstreamEntry> upstreams, int count) {
		List<Address> probes = select(upstreams, count);
		this.probing.addAll(probes);
		return probes;
	}

	private List<Address> recoveryProbe(Collection<UpstreamEntry> upstreams, long nowMs) {
		this.nextCheckMs = nowMs + RECOVERY_PROBE_INTERVAL_MS;
		List<Address> addresses = upstreams.stream().map(UpstreamEntry::address).sorted(ADDRESS_ORDER).toList();
		return addresses.isEmpty() ? List.of()
				: List.of(addresses.get(Math.floorMod(this.nextProbe++, addresses.size())));
	}

	// Prefers upstreams of different services and failure domains, which are unlikely to
	// fail together, in an order that differs between checks.
	private List<Address> select(Collection<UpstreamEntry> upstreams, int count) {
		Map<String, UpstreamEntry> others = new HashMap<>();
		upstreams.stream()
			.filter((entry) -> !this.failed.contains(entry.address()))
			.forEach((entry) -> others.put(entry.incarnation(), entry));
		List<String> order = RendezvousHash.top(String.valueOf(this.nextProbe++), others.keySet(), others.size());
		Set<String> services = new HashSet<>();
		Set<String> domains = new HashSet<>();
		Set<Address> selected = new LinkedHashSet<>();
		List<Address> rest = new ArrayList<>();
		for (String incarnation : order) {
			UpstreamEntry entry = Objects.requireNonNull(others.get(incarnation));
			boolean distinct = !services.contains(entry.service()) && !domains.contains(entry.failureDomain());
			services.add(entry.service());
			domains.add(entry.failureDomain());
			(distinct ? selected : rest).add(entry.address());
		}
		selected.addAll(rest);
		return selected.stream().limit(count).toList();
	}

	/** State of the links to the upstreams. */
	public enum State {

		/** Connections to upstreams are established, or none was needed. */
		CONNECTED,
		/** Connections fail; other upstreams are being probed. */
		SUSPECTED,
		/** No upstream can be connected to. */
		ISOLATED

	}

}
