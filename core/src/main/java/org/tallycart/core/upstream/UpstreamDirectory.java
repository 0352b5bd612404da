package org.tallycart.core.upstream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.tallycart.core.ini.Address;
import org.tallycart.core.serving.UpstreamEntry;

/**
 * The upstreams that exist, from the platform's list and from their own statements.
 * <p>
 * Entries that vanish during an outage of the platform's store, or in a grace period
 * after it, are kept until the grace period ends, since most of their upstreams are live
 * and only failed to renew them. An outage counts only if it may have been long enough
 * for that; an entry that vanishes otherwise was removed.
 * <p>
 * Invariant: upstreams that are draining or backing off, by their entries or replies,
 * upstreams that are removed, and upstreams in an evacuated failure domain are never
 * candidates. Not thread-safe: belongs to one event loop.
 *
 * @since 0.1
 */
public final class UpstreamDirectory {

	/**
	 * Grace period after an outage, in milliseconds. The platform renews the entries of
	 * live upstreams within about two seconds after its return.
	 */
	private static final long RENEWAL_GRACE_MS = 2_200;

	/**
	 * Intervals of renewal that an outage takes at least until entries expire in it. An
	 * entry expires after three intervals, and was renewed one interval before the outage
	 * at the earliest.
	 */
	private static final int EXPIRY_INTERVALS = 2;

	/** Default interval of renewal, in milliseconds. */
	private static final long DEFAULT_HEARTBEAT_MS = 1_200;

	private static final long NEVER = Long.MIN_VALUE / 2;

	/**
	 * Time for which a software version is retained after its last upstream was unlisted,
	 * in milliseconds; longer than any stream.
	 */
	private static final long VERSION_RETENTION_MS = 600_000;

	/**
	 * Time after which a software version that is listed is known to all VMs whose lists
	 * count as up to date, in milliseconds; longer than the age of such a list.
	 */
	private static final long VERSION_SPREAD_MS = 2_500;

	private final Map<String, UpstreamState> states = new HashMap<>();

	private final Map<String, UpstreamState> vanished = new HashMap<>();

	// Index of the two maps above, built on demand and cleared by each change.
	private final Map<String, List<UpstreamState>> byService = new HashMap<>();

	private final UnavailabilityRegistry unavailability = new UnavailabilityRegistry();

	// When the last upstream of a software version was unlisted, by service and version.
	private final Map<String, Map<String, Long>> unlistedVersionsMs = new HashMap<>();

	// When a software version was first listed, by service and version; NEVER for those
	// of the first list.
	private final Map<String, Map<String, Long>> listedVersionsMs = new HashMap<>();

	private Set<String> evacuatedDomains = Set.of();

	private boolean evacuationsLoaded = true;

	private boolean loaded;

	private final long minExpiryMs;

	private long storeAvailableMs = NEVER;

	private long graceUntilMs = NEVER;

	/** Create an empty directory of upstreams that renew their entries every 1.2 s. */
	public UpstreamDirectory() {
		this(DEFAULT_HEARTBEAT_MS);
	}

	/**
	 * Create an empty directory.
	 * @param heartbeatMs the interval at which upstreams renew their entries, in
	 * milliseconds
	 */
	public UpstreamDirectory(long heartbeatMs) {
		this.minExpiryMs = EXPIRY_INTERVALS * heartbeatMs;
	}

	/**
	 * Replace the list.
	 * @param entries the entries of all upstreams
	 * @param nowMs the current monotonic time, in milliseconds
	 */
	public void replace(Collection<UpstreamEntry> entries, long nowMs) {
		Set<String> present = new HashSet<>();
		for (UpstreamEntry entry : entries) {
			present.add(entry.id());
			put(entry, nowMs);
		}
		this.loaded = true;
		for (String id : new ArrayList<>(this.states.keySet())) {
			if (!present.contains(id)) {
				remove(id, nowMs);
			}
		}
	}

	/**
	 * Add or update an entry. An entry with an earlier start than the current one is
	 * stale and ignored; one with a later start begins a new incarnation with empty
	 * state.
	 * @param entry the entry
	 * @param nowMs the current monotonic time, in milliseconds
	 */
	public void put(UpstreamEntry entry, long nowMs) {
		this.byService.clear();
		this.listedVersionsMs.computeIfAbsent(entry.service(), (key) -> new HashMap<>())
			.putIfAbsent(entry.softwareVersion(), this.loaded ? nowMs : NEVER);
		if (entry.draining()) {
			this.unavailability.onDraining(entry.incarnation(), nowMs);
		}
		UpstreamState returned = this.vanished.remove(entry.id());
		if (returned != null) {
			this.states.put(entry.id(), returned);
		}
		UpstreamState current = this.states.get(entry.id());
		if (current != null && !current.entry().softwareVersion().equals(entry.softwareVersion())) {
			onVersionUnlisted(current, nowMs);
		}
		if (current == null || entry.startedAfter(current.entry())) {
			this.states.put(entry.id(), new UpstreamState(entry, this.unavailability, nowMs));
		}
		else if (!current.entry().startedAfter(entry)) {
			current.update(entry, nowMs);
		}
	}

	/**
	 * Return the registry of upstreams that are draining or backing off.
	 * @return the registry, which is updated by later statements
	 */
	public UnavailabilityRegistry unavailability() {
		return this.unavailability;
	}

	/**
	 * Require the evacuated failure domains to be set before any upstream is a candidate.
	 */
	public void expectEvacuations() {
		this.evacuationsLoaded = false;
	}

	/**
	 * Set the failure domains whose upstreams receive no new requests. Requests in flight
	 * complete, and results stored there stay readable.
	 * @param domains all evacuated failure domains
	 */
	public void setEvacuatedDomains(Collection<String> domains) {
		this.evacuationsLoaded = true;
		this.evacuatedDomains = Set.copyOf(domains);
	}

	/**
	 * Return the evacuated failure domains.
	 * @return their names
	 */
	public Set<String> evacuatedDomains() {
		return this.evacuatedDomains;
	}

	/**
	 * Remove an upstream whose entry is invalid, without a grace period.
	 * @param id the upstream's id
	 * @param nowMs the current monotonic time, in milliseconds
	 */
	public void removeInvalid(String id, long nowMs) {
		this.byService.clear();
		Stream.of(this.states, this.vanished)
			.map((upstreams) -> upstreams.remove(id))
			.filter(Objects::nonNull)
			.forEach((state) -> onVersionUnlisted(state, nowMs));
	}

	private void onVersionUnlisted(UpstreamState state, long nowMs) {
		this.unlistedVersionsMs.computeIfAbsent(state.entry().service(), (key) -> new HashMap<>())
			.put(state.entry().softwareVersion(), nowMs);
	}

	/**
	 * Return the software versions of a service that were listed at any time since a
	 * given one.
	 * @param service the service
	 * @param sinceMs the time, in monotonic time
	 * @return the versions, of upstreams in any state
	 */
	public Set<String> softwareVersionsSince(String service, long sinceMs) {
		Set<String> versions = new HashSet<>();
		indexed(service).forEach((state) -> versions.add(state.entry().softwareVersion()));
		this.unlistedVersionsMs.getOrDefault(service, Map.of()).forEach((version, unlistedMs) -> {
			if (unlistedMs >= sinceMs) {
				versions.add(version);
			}
		});
		return versions;
	}

	/**
	 * Remove an upstream whose entry has vanished. During an outage and the grace period
	 * after it, the upstream stays available.
	 * @param id the upstream's id
	 * @param nowMs the current monotonic time, in milliseconds
	 */
	public void remove(String id, long nowMs) {
		this.byService.clear();
		UpstreamState state = this.states.remove(id);
		if (state == null) {
			return;
		}
		if (!state.isDraining() && !isListTrusted(nowMs)) {
			this.vanished.put(id, state);
		}
		else {
			onVersionUnlisted(state, nowMs);
		}
	}

	private boolean isListTrusted(long nowMs) {
		return !isOutagePossible(nowMs) && nowMs >= this.graceUntilMs;
	}

	// Returns whether entries of live upstreams may have expired until a given time.
	private boolean isOutagePossible(long atMs) {
		return this.storeAvailableMs != NEVER && atMs - this.storeAvailableMs >= this.minExpiryMs;
	}

	/**
	 * Record that the platform's store was available at some time, to this VM or to
	 * another one. If it may have been unavailable for long enough before, the grace
	 * period starts. Must be called before the changes that were read then are applied.
	 * @param atMs the time at which a call was sent that the store answered, in monotonic
	 * time
	 * @param nowMs the current monotonic time, in milliseconds
	 */
	public void onStoreAvailable(long atMs, long nowMs) {
		if (isOutagePossible(atMs)) {
			this.graceUntilMs = nowMs + RENEWAL_GRACE_MS;
		}
		this.storeAvailableMs = Math.max(this.storeAvailableMs, atMs);
	}

	/**
	 * Return the remaining grace period.
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return the remaining time in milliseconds; 0 if vanished entries are removed at
	 * once
	 */
	public long remainingGraceMs(long nowMs) {
		return isOutagePossible(nowMs) ? RENEWAL_GRACE_MS : Math.max(this.graceUntilMs - nowMs, 0);
	}

	/**
	 * Drop vanished entries after the end of the grace period, and versions that were
	 * unlisted long ago.
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return the ids of the dropped entries
	 */
	public Set<String> expireVanished(long nowMs) {
		this.unlistedVersionsMs.values()
			.forEach((versions) -> versions.values().removeIf((at) -> nowMs - at > VERSION_RETENTION_MS));
		this.listedVersionsMs.forEach((service, versions) -> versions.keySet()
			.retainAll(softwareVersionsSince(service, nowMs - VERSION_RETENTION_MS)));
		if (!isListTrusted(nowMs) || this.vanished.isEmpty()) {
			return Set.of();
		}
		Set<String> expired = Set.copyOf(this.vanished.keySet());
		this.byService.clear();
		this.vanished.values().forEach((state) -> onVersionUnlisted(state, nowMs));
		this.vanished.clear();
		return expired;
	}

	/**
	 * Return the ids of the upstreams whose entries have vanished and that stay available
	 * until the end of the grace period.
	 * @return the ids
	 */
	public Set<String> retainedIds() {
		return Set.copyOf(this.vanished.keySet());
	}

	/**
	 * Return the upstreams of a service that may receive new requests.
	 * @param service the service
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return the upstreams that are not draining, backing off or evacuated; without the
	 * ejected ones, unless there are no others; must not be modified
	 */
	public List<UpstreamState> candidates(String service, long nowMs) {
		return candidates(service, Optional.empty(), nowMs);
	}

	/**
	 * Return the upstreams of a service that may receive new requests.
	 * @param service the service
	 * @param softwareVersion the only version of their software that is suitable; empty
	 * if all are
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return the upstreams that are not draining, backing off or evacuated; without the
	 * ejected ones, unless there are no others; must not be modified
	 */
	public List<UpstreamState> candidates(String service, Optional<String> softwareVersion, long nowMs) {
		List<UpstreamState> all = notEvacuated(service, softwareVersion);
		List<UpstreamState> usable = CandidateList.without(all, (state) -> !state.isUsable(nowMs));
		return usable.isEmpty() ? CandidateList.without(all, (state) -> state.acceptsInMs(nowMs) > 0) : usable;
	}

	/**
	 * Return the upstreams of a service at which a stream may begin. A VM whose list
	 * lacks a software version may take the stream for one of another version when its
	 * caller resumes it there, so versions that other VMs may not know yet are left out,
	 * unless there are no others.
	 * @param service the service
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return the upstreams, as those of {@link #candidates(String, long)}
	 */
	public List<UpstreamState> candidatesForNewStreams(String service, long nowMs) {
		List<UpstreamState> all = candidates(service, nowMs);
		Map<String, Long> listedMs = this.listedVersionsMs.getOrDefault(service, Map.of());
		List<UpstreamState> known = CandidateList.without(all,
				(state) -> nowMs - listedMs.getOrDefault(state.entry().softwareVersion(), NEVER) < VERSION_SPREAD_MS);
		return known.isEmpty() ? all : known;
	}

	// Includes upstreams that are draining or backing off.
	private List<UpstreamState> notEvacuated(String service, Optional<String> softwareVersion) {
		if (!this.evacuationsLoaded) {
			return List.of();
		}
		List<UpstreamState> upstreams = indexed(service);
		if (!this.evacuatedDomains.isEmpty()) {
			upstreams = CandidateList.without(upstreams,
					(state) -> this.evacuatedDomains.contains(state.entry().failureDomain()));
		}
		if (softwareVersion.isPresent()) {
			String version = softwareVersion.get();
			upstreams = CandidateList.without(upstreams, (state) -> !state.entry().softwareVersion().equals(version));
		}
		return upstreams;
	}

	/**
	 * Return the time until the first upstream of a service accepts requests, by their
	 * own statements.
	 * @param service the service
	 * @param softwareVersion the only version of their software that is suitable; empty
	 * if all are
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return the time in milliseconds; 0 if one accepts them now,
	 * {@link UnavailabilityRegistry#NEVER} if all are draining or there is none
	 */
	public long acceptsInMs(String service, Optional<String> softwareVersion, long nowMs) {
		return notEvacuated(service, softwareVersion).stream()
			.mapToLong((state) -> state.acceptsInMs(nowMs))
			.min()
			.orElse(UnavailabilityRegistry.NEVER);
	}

	/**
	 * Return the upstreams of a service that are not draining, including the evacuated
	 * ones.
	 * @param service the service
	 * @return the upstreams
	 */
	public List<UpstreamState> activeUpstreams(String service) {
		List<UpstreamState> found = new ArrayList<>(indexed(service));
		found.removeIf(UpstreamState::isDraining);
		return found;
	}

	private List<UpstreamState> indexed(String service) {
		if (this.byService.isEmpty()) {
			this.states.values().forEach(this::index);
			this.vanished.values().forEach(this::index);
			this.byService.replaceAll((key, upstreams) -> List.copyOf(upstreams));
		}
		return this.byService.getOrDefault(service, List.of());
	}

	private void index(UpstreamState state) {
		this.byService.computeIfAbsent(state.entry().service(), (key) -> new ArrayList<>()).add(state);
	}

	/**
	 * Find an upstream by its address. Listed upstreams take precedence over vanished
	 * ones, since addresses are reused.
	 * @param address the address on which it listens
	 * @return the upstream; empty if there is none at this address
	 */
	public Optional<UpstreamState> findByAddress(Address address) {
		return Stream.concat(this.states.values().stream(), this.vanished.values().stream())
			.filter((state) -> state.entry().address().equals(address))
			.findFirst();
	}

	/**
	 * Return the entry of a listed upstream.
	 * @param id the upstream's id
	 * @return the entry; empty if the upstream is not listed
	 */
	public Optional<UpstreamEntry> entry(String id) {
		return Optional.ofNullable(this.states.get(id)).map(UpstreamState::entry);
	}

	/**
	 * Return the entries of the listed upstreams that may be connected to.
	 * @return the entries, in no order; without upstreams that are draining or evacuated
	 */
	public List<UpstreamEntry> connectableEntries() {
		return this.states.values()
			.stream()
			.filter((state) -> !state.isDraining())
			.map(UpstreamState::entry)
			.filter((entry) -> !this.evacuatedDomains.contains(entry.failureDomain()))
			.toList();
	}

	/**
	 * Return whether the list and the evacuated failure domains have been loaded.
	 * @return true if both were loaded at least once
	 */
	public boolean isLoaded() {
		return this.loaded && this.evacuationsLoaded;
	}

	/**
	 * Return the incarnations that are listed, or vanished in the grace period.
	 * @return the incarnations; see {@link UpstreamEntry#incarnation}
	 */
	public Set<String> incarnations() {
		return Stream.concat(this.states.values().stream(), this.vanished.values().stream())
			.map((state) -> state.entry().incarnation())
			.collect(Collectors.toSet());
	}

	/**
	 * Return the ids of the upstreams that are listed, or vanished in the grace period.
	 * @return the ids
	 */
	public Set<String> ids() {
		Set<String> ids = new HashSet<>(this.states.keySet());
		ids.addAll(this.vanished.keySet());
		return ids;
	}

}
