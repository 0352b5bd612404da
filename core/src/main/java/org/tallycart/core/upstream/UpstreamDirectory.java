package org.tallycart.core.upstream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
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
 * Invariant: a draining or vanished upstream is no candidate. Not thread-safe: belongs to
 * one event loop.
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
			put(entry);
		}
		for (String id : new ArrayList<>(this.states.keySet())) {
			if (!present.contains(id)) {
				remove(id, nowMs);
			}
		}
	}

	/**
	 * Take a new or changed entry.
	 * @param entry the entry
	 */
	public void put(UpstreamEntry entry) {
		UpstreamState returned = this.vanished.remove(entry.id());
		if (returned != null) {
			this.states.put(entry.id(), returned);
		}
		UpstreamState state = this.states.computeIfAbsent(entry.id(), (id) -> new UpstreamState(entry));
		state.update(entry);
	}

	/**
	 * Take note that an entry is gone.
	 * @param id its upstream
	 * @param nowMs the steady clock
	 */
	public void remove(String id, long nowMs) {
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
	public long untrustedMs(long nowMs) {
		return this.outage ? RENEWAL_MS : Math.max(this.trustedFromMs - nowMs, 0);
	}

	/**
	 * Take note that entries that vanish may still come back until some time.
	 * @param untilMs that time, on the steady clock
	 */
	public void distrustUntil(long untilMs) {
		this.trustedFromMs = Math.max(this.trustedFromMs, untilMs);
	}

	/**
	 * Drop entries that should have been renewed by now.
	 * @param nowMs the steady clock
	 */
	public void tick(long nowMs) {
		if (trusted(nowMs)) {
			this.vanished.clear();
		}
	}

	/**
	 * Return the upstreams of a service that may get new work.
	 * @param service the service
	 * @param nowMs the steady clock
	 * @return those that are not leaving; without those that could not be reached lately,
	 * unless there are no others
	 */
	public List<UpstreamState> candidates(String service, long nowMs) {
		List<UpstreamState> present = all(service);
		List<UpstreamState> usable = present.stream().filter((state) -> state.usable(nowMs)).toList();
		return usable.isEmpty() ? present : usable;
	}

	/**
	 * Return the upstreams of a service that are not leaving.
	 * @param service the service
	 * @return the upstreams
	 */
	public List<UpstreamState> all(String service) {
		List<UpstreamState> found = new ArrayList<>();
		for (Map<String, UpstreamState> part : List.of(this.states, this.vanished)) {
			for (UpstreamState state : part.values()) {
				if (state.entry().service().equals(service) && !state.gone()) {
					found.add(state);
				}
			}
		}
		return found;
	}

	/**
	 * Find an upstream by its address. One that is listed goes before one whose entry has
	 * vanished and may come back, since addresses are used again.
	 * @param address where it listens
	 * @return the upstream, if one listens there
	 */
	public Optional<UpstreamState> at(Address address) {
		return Stream.concat(this.states.values().stream(), this.vanished.values().stream())
			.filter((state) -> state.entry().address().equals(address))
			.findFirst();
	}

	/**
	 * Return whether the list was read at least once.
	 * @return true if it was
	 */
	public boolean known() {
		return this.known;
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
