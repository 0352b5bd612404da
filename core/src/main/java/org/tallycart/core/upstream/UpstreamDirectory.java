package org.tallycart.core.upstream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.tallycart.core.ini.Address;
import org.tallycart.core.serving.UpstreamEntry;

/**
 * The upstreams that exist, from the platform's list and from what they say themselves.
 * <p>
 * Entries that vanish while the list cannot be trusted, in an outage of the platform's
 * store and for a time after it, are kept for that time: their upstreams mostly live, and
 * have only failed to renew them.
 * <p>
 * Invariant: an upstream that leaves or rests, by its entry or its replies, one that is
 * gone, and one in a failure domain that the operators have evacuated are no candidates.
 * Not thread-safe: belongs to one event loop.
 *
 * @since 0.1
 */
public final class UpstreamDirectory {

	/**
	 * How long after an outage a vanished entry is kept, in milliseconds. The platform
	 * says that entries of upstreams that live are back about two seconds after its
	 * return.
	 */
	private static final long RENEWAL_MS = 2_200;

	private final Map<String, UpstreamState> states = new HashMap<>();

	private final Map<String, UpstreamState> vanished = new HashMap<>();

	// Made when it is asked for, and dropped with each change of the two above.
	private final Map<String, List<UpstreamState>> byService = new HashMap<>();

	private final UnavailabilityRegistry absences = new UnavailabilityRegistry();

	private Set<String> evacuated = Set.of();

	private boolean evacuationsKnown = true;

	private boolean known;

	private boolean outage;

	private long trustedFromMs = Long.MIN_VALUE / 2;

	/**
	 * Take the whole list.
	 * @param entries the upstreams that it holds
	 * @param nowMs the steady clock
	 */
	public void replace(Collection<UpstreamEntry> entries, long nowMs) {
		this.known = true;
		Set<String> present = new HashSet<>();
		for (UpstreamEntry entry : entries) {
			present.add(entry.id());
			put(entry, nowMs);
		}
		for (String id : new ArrayList<>(this.states.keySet())) {
			if (!present.contains(id)) {
				remove(id, nowMs);
			}
		}
	}

	/**
	 * Take a new or changed entry. One that tells of a start before the known one is late
	 * and changes nothing; one that tells of a later start names another incarnation, of
	 * which nothing is known.
	 * @param entry the entry
	 * @param nowMs the steady clock
	 */
	public void put(UpstreamEntry entry, long nowMs) {
		this.byService.clear();
		if (entry.draining()) {
			this.absences.onDraining(entry.incarnation(), nowMs);
		}
		UpstreamState returned = this.vanished.remove(entry.id());
		if (returned != null) {
			this.states.put(entry.id(), returned);
		}
		UpstreamState known = this.states.get(entry.id());
		if (known == null || entry.startedAfter(known.entry())) {
			this.states.put(entry.id(), new UpstreamState(entry, this.absences, nowMs));
		}
		else if (!known.entry().startedAfter(entry)) {
			known.update(entry, nowMs);
		}
	}

	/**
	 * Return what upstreams have said of their leaving and of rest.
	 * @return their statements, which change with what they say
	 */
	public UnavailabilityRegistry unavailability() {
		return this.absences;
	}

	/** Take note that it is not known yet which failure domains are evacuated. */
	public void expectEvacuations() {
		this.evacuationsKnown = false;
	}

	/**
	 * Take the failure domains whose upstreams get nothing until the operators take that
	 * back. What they work on ends as usual, and results that lie there are still read.
	 * @param domains all of them
	 */
	public void setEvacuatedDomains(Collection<String> domains) {
		this.evacuationsKnown = true;
		this.evacuated = Set.copyOf(domains);
	}

	/**
	 * Return the failure domains that are evacuated.
	 * @return their names
	 */
	public Set<String> evacuatedDomains() {
		return this.evacuated;
	}

	/**
	 * Take note that an upstream's entry can no longer be read: it names no upstream to
	 * use, also in an outage.
	 * @param id its name
	 */
	public void removeInvalid(String id) {
		this.byService.clear();
		this.states.remove(id);
		this.vanished.remove(id);
	}

	/**
	 * Take note that an entry is gone.
	 * @param id its upstream
	 * @param nowMs the steady clock
	 */
	public void remove(String id, long nowMs) {
		this.byService.clear();
		UpstreamState state = this.states.remove(id);
		if (state != null && !state.gone() && !trusted(nowMs)) {
			this.vanished.put(id, state);
		}
	}

	private boolean trusted(long nowMs) {
		return !this.outage && nowMs >= this.trustedFromMs;
	}

	/** Take note that the platform's store cannot be reached. */
	public void onStoreLost() {
		this.outage = true;
	}

	/**
	 * Take note that the platform's store answers again.
	 * @param nowMs the steady clock
	 */
	public void onStoreBack(long nowMs) {
		if (this.outage) {
			this.outage = false;
			this.trustedFromMs = nowMs + RENEWAL_MS;
		}
	}

	/**
	 * Return how long entries that vanish may still come back.
	 * @param nowMs the steady clock
	 * @return milliseconds; 0 where what vanishes is gone
	 */
	public long remainingGraceMs(long nowMs) {
		return this.outage ? RENEWAL_MS : Math.max(this.trustedFromMs - nowMs, 0);
	}

	/**
	 * Take note that entries that vanish may still come back until some time.
	 * @param untilMs that time, on the steady clock
	 */
	public void extendGraceUntil(long untilMs) {
		this.trustedFromMs = Math.max(this.trustedFromMs, untilMs);
	}

	/**
	 * Drop entries that should have been renewed by now.
	 * @param nowMs the steady clock
	 */
	public void expireVanished(long nowMs) {
		if (trusted(nowMs) && !this.vanished.isEmpty()) {
			this.byService.clear();
			this.vanished.clear();
		}
	}

	/**
	 * Return the upstreams of a service that may get new work.
	 * @param service the service
	 * @param nowMs the steady clock
	 * @return those that neither leave nor rest and are not evacuated; without those that
	 * could not be reached lately, unless there are no others
	 */
	public List<UpstreamState> candidates(String service, long nowMs) {
		List<UpstreamState> accepting = open(service);
		accepting.removeIf((state) -> state.acceptsInMs(nowMs) > 0);
		List<UpstreamState> usable = accepting.stream().filter((state) -> state.isUsable(nowMs)).toList();
		return usable.isEmpty() ? accepting : usable;
	}

	// Those that operators let be used, the resting among them.
	private List<UpstreamState> open(String service) {
		if (!this.evacuationsKnown) {
			return new ArrayList<>();
		}
		List<UpstreamState> open = activeUpstreams(service);
		open.removeIf((state) -> this.evacuated.contains(state.entry().failureDomain()));
		return open;
	}

	/**
	 * Return when the first upstream of a service takes requests, by their own words.
	 * @param service the service
	 * @param nowMs the steady clock
	 * @return milliseconds; 0 if one takes them now, {@link UnavailabilityRegistry#NEVER}
	 * if there is none that does not leave
	 */
	public long acceptsInMs(String service, long nowMs) {
		return open(service).stream()
			.mapToLong((state) -> state.acceptsInMs(nowMs))
			.min()
			.orElse(UnavailabilityRegistry.NEVER);
	}

	/**
	 * Return the upstreams of a service that are not leaving, the evacuated among them.
	 * @param service the service
	 * @return the upstreams
	 */
	public List<UpstreamState> activeUpstreams(String service) {
		if (this.byService.isEmpty()) {
			this.states.values().forEach(this::index);
			this.vanished.values().forEach(this::index);
		}
		List<UpstreamState> found = new ArrayList<>(this.byService.getOrDefault(service, List.of()));
		found.removeIf(UpstreamState::gone);
		return found;
	}

	private void index(UpstreamState state) {
		this.byService.computeIfAbsent(state.entry().service(), (key) -> new ArrayList<>()).add(state);
	}

	/**
	 * Find an upstream by its address. One that is listed goes before one whose entry has
	 * vanished and may come back, since addresses are used again.
	 * @param address where it listens
	 * @return the upstream, if one listens there
	 */
	public Optional<UpstreamState> findByAddress(Address address) {
		return Stream.concat(this.states.values().stream(), this.vanished.values().stream())
			.filter((state) -> state.entry().address().equals(address))
			.findFirst();
	}

	/**
	 * Return the entry of an upstream that is listed.
	 * @param id its name
	 * @return the entry, if it is listed
	 */
	public Optional<UpstreamEntry> entry(String id) {
		return Optional.ofNullable(this.states.get(id)).map(UpstreamState::entry);
	}

	/**
	 * Return whether the list, and what is evacuated, was read at least once.
	 * @return true if it was
	 */
	public boolean isLoaded() {
		return this.known && this.evacuationsKnown;
	}

	/**
	 * Return what names the incarnations that are listed or kept.
	 * @return the names; see {@link UpstreamEntry#incarnation}
	 */
	public Set<String> incarnations() {
		return Stream.concat(this.states.values().stream(), this.vanished.values().stream())
			.map((state) -> state.entry().incarnation())
			.collect(Collectors.toSet());
	}

	/**
	 * Return the names of all incarnations that are listed or kept.
	 * @return the names
	 */
	public Set<String> ids() {
		Set<String> ids = new HashSet<>(this.states.keySet());
		ids.addAll(this.vanished.keySet());
		return ids;
	}

}
