package org.tallycart.core.stream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;

import org.tallycart.core.fleet.VmRecord;

/**
 * Finds the software version at which a stream has to go on when its caller resumes it at
 * any VM.
 * <p>
 * While several versions of a service serve, or may do so unseen, each VM tells the
 * origins of the streams that it begins to a few VMs, which are ranked by the id of the
 * stream and are asked when it is resumed. While a single version serves there are no
 * such messages: what no VM has a record of began at that version.
 * <p>
 * Invariants: a lookup has one result, within {@link #LOOKUP_TIMEOUT_MS} and the time
 * that {@link ServedVersions} takes; a version is found only if it began the stream, or
 * if it was the only one that could have. A VM that not all other VMs answer may be cut
 * off, and those that know the stream may be among the others, so the store has to
 * confirm what it infers. Not thread-safe: confined to the event loop.
 *
 * @since 0.1
 */
public final class StreamOriginRegistry {

	/**
	 * Time for which the origin of a stream is kept at least, in milliseconds: the
	 * longest time from the begin of a stream until its caller resumes it.
	 */
	public static final long RETENTION_MS = 60_000;

	/**
	 * Timeout of a lookup, in milliseconds. VMs are a few milliseconds apart, and those
	 * that have failed do not reply.
	 */
	public static final long LOOKUP_TIMEOUT_MS = 300;

	/** Number of VMs that keep the origin of a stream. */
	private static final int HOLDERS = 4;

	private final String vm;

	private final StreamOriginPeers peers;

	private final ServedVersions versions;

	private final OriginHolders holders = new OriginHolders();

	private final StreamOriginTable table = new StreamOriginTable();

	// Streams that this VM has begun, with their services.
	private final Map<String, String> begun = new LinkedHashMap<>();

	// Those of them that the VMs which keep them have not been told, with their services.
	private final Map<String, String> unsent = new LinkedHashMap<>();

	private final Map<Long, Lookup> lookups = new LinkedHashMap<>();

	private long lastNumber;

	/**
	 * Create a registry that knows no streams.
	 * @param vm the name of this VM
	 * @param peers sends messages to other VMs
	 * @param versions tells whether a single version serves
	 */
	public StreamOriginRegistry(String vm, StreamOriginPeers peers, ServedVersions versions) {
		this.vm = vm;
		this.peers = peers;
		this.versions = versions;
	}

	/**
	 * Replace the VMs that may exist. If they have changed, other VMs may have to keep
	 * the streams that this VM has begun, and are told by the next {@link #tick(long)}.
	 * @param records the records of all VMs
	 */
	public void updateVms(Collection<VmRecord> records) {
		if (this.holders.updateVms(records)) {
			this.unsent.putAll(this.begun);
		}
	}

	/**
	 * Record that a stream has begun at this VM, before its first event is passed on.
	 * @param id the id of the caller's request
	 * @param origin where it began
	 * @param maxMs the longest time until its caller resumes it, in milliseconds
	 * @param nowMs the current monotonic time, in milliseconds
	 */
	public void onBegun(String id, StreamOrigin origin, long maxMs, long nowMs) {
		this.table.put(id, origin, nowMs + Math.max(maxMs, RETENTION_MS));
		this.begun.put(id, origin.service());
		this.unsent.put(id, origin.service());
		if (this.versions.onlyVersion(origin.service(), nowMs).isEmpty()) {
			sendUnsent(Set.of(origin.service()), nowMs);
		}
	}

	private void sendUnsent(Set<String> services, long nowMs) {
		Map<String, List<BegunStream>> byVm = new HashMap<>();
		this.unsent.entrySet().removeIf((entry) -> {
			boolean due = services.contains(entry.getValue());
			if (due) {
				this.table.findBegun(entry.getKey(), nowMs)
					.ifPresent((stream) -> othersRanked(stream.id(), HOLDERS)
						.forEach((holder) -> add(byVm, holder, stream)));
			}
			return due;
		});
		byVm.forEach(this.peers::sendOrigins);
	}

	private static void add(Map<String, List<BegunStream>> byVm, String holder, BegunStream stream) {
		byVm.computeIfAbsent(holder, (key) -> new ArrayList<>()).add(stream);
	}

	private List<String> othersRanked(String id, int count) {
		List<String> others = new ArrayList<>(this.holders.rank(id, count));
		others.remove(this.vm);
		return others;
	}

	/**
	 * Find where a stream began.
	 * @param id the id of the request that began it
	 * @param service the service that would serve the resumed stream
	 * @param nowMs the current monotonic time, in milliseconds
	 * @param consumer receives the origin and how it was found, at once or later; empty
	 * if the stream may have begun at any version
	 */
	public void find(String id, String service, long nowMs, BiConsumer<Optional<StreamOrigin>, LookupSource> consumer) {
		Optional<StreamOrigin> own = this.table.find(id, nowMs);
		if (own.isPresent()) {
			consumer.accept(own, LookupSource.THIS_VM);
			return;
		}
		Lookup lookup = new Lookup(service, othersRanked(id, HOLDERS), nowMs + LOOKUP_TIMEOUT_MS, consumer);
		long number = ++this.lastNumber;
		this.lookups.put(number, lookup);
		List.copyOf(lookup.pending).forEach((holder) -> this.peers.sendQuery(holder, number, id));
		finishIfNobodyIsLeft(number, lookup, nowMs);
	}

	private void finishIfNobodyIsLeft(long number, Lookup lookup, long nowMs) {
		if (!lookup.pending.isEmpty() || this.lookups.remove(number) == null) {
			return;
		}
		this.versions.findOnlyVersion(lookup.service, !lookup.isAnsweredByAll(), nowMs,
				(version) -> lookup.consumer.accept(version.map((only) -> new StreamOrigin(lookup.service, only)),
						version.isPresent() ? LookupSource.ONLY_VERSION : LookupSource.NONE));
	}

	/**
	 * Handle the origins of streams that other VMs have begun.
	 * @param streams the streams
	 * @param nowMs the current monotonic time, in milliseconds
	 */
	public void onOrigins(Collection<BegunStream> streams, long nowMs) {
		streams.forEach((stream) -> this.table.put(stream.id(), stream.origin(), nowMs + stream.remainingMs()));
	}

	/**
	 * Handle a question.
	 * @param from the name of the VM that asks
	 * @param number the number of the question
	 * @param id the id of the stream
	 * @param nowMs the current monotonic time, in milliseconds
	 */
	public void onQuery(String from, long number, String id, long nowMs) {
		this.peers.sendReply(from, number, this.table.find(id, nowMs));
	}

	/**
	 * Handle the answer to a question. A late or repeated one has no effect.
	 * @param from the name of the VM that answers
	 * @param number the number of the question
	 * @param origin where the stream began; empty if the VM does not know
	 * @param nowMs the current monotonic time, in milliseconds
	 */
	public void onReply(String from, long number, Optional<StreamOrigin> origin, long nowMs) {
		Lookup lookup = this.lookups.get(number);
		if (lookup == null || !lookup.pending.remove(from)) {
			return;
		}
		if (origin.isPresent()) {
			this.lookups.remove(number);
			lookup.consumer.accept(origin, LookupSource.OTHER_VM);
		}
		else {
			lookup.answers++;
			finishIfNobodyIsLeft(number, lookup, nowMs);
		}
	}

	/**
	 * Expire lookups and origins, and tell other VMs the streams of services that have
	 * more than one version since. Must be called several times a second.
	 * @param nowMs the current monotonic time, in milliseconds
	 */
	public void tick(long nowMs) {
		this.table.expire(nowMs);
		dropExpired(this.begun, nowMs);
		dropExpired(this.unsent, nowMs);
		Set<String> mixed = new HashSet<>(this.unsent.values());
		mixed.removeIf((service) -> this.versions.onlyVersion(service, nowMs).isPresent());
		if (!mixed.isEmpty()) {
			sendUnsent(mixed, nowMs);
		}
		expireLookups(nowMs);
	}

	private void dropExpired(Map<String, String> streams, long nowMs) {
		Iterator<String> oldest = streams.keySet().iterator();
		while (oldest.hasNext() && this.table.find(oldest.next(), nowMs).isEmpty()) {
			oldest.remove();
		}
	}

	/**
	 * Give up the questions of lookups whose time is over.
	 * @param nowMs the current monotonic time, in milliseconds
	 */
	public void expireLookups(long nowMs) {
		new LinkedHashMap<>(this.lookups).forEach((number, lookup) -> {
			if (nowMs >= lookup.untilMs) {
				lookup.pending.clear();
				finishIfNobodyIsLeft(number, lookup, nowMs);
			}
		});
	}

	/**
	 * Hand the origins that this VM keeps to another VM each, before a planned stop.
	 * @param nowMs the current monotonic time, in milliseconds
	 */
	public void handOver(long nowMs) {
		Map<String, List<BegunStream>> byVm = new HashMap<>();
		Map<String, Boolean> mixed = new HashMap<>();
		this.table.all(nowMs).forEach((stream) -> {
			boolean needed = mixed.computeIfAbsent(stream.origin().service(),
					(service) -> this.versions.onlyVersion(service, nowMs).isEmpty());
			if (needed) {
				othersRanked(stream.id(), HOLDERS).stream().findFirst().ifPresent((vm) -> add(byVm, vm, stream));
			}
		});
		byVm.forEach(this.peers::sendOrigins);
	}

	/**
	 * Return the number of streams whose origin this VM keeps.
	 * @return the count
	 */
	public int size() {
		return this.table.size();
	}

	/** How the origin of a stream was found. */
	public enum LookupSource {

		/** This VM had a record. */
		THIS_VM,
		/** Another VM had a record. */
		OTHER_VM,
		/** Only one version can have begun it. */
		ONLY_VERSION,
		/** It was not found. */
		NONE

	}

	/** A lookup in progress. */
	private static final class Lookup {

		private final String service;

		private final int asked;

		private final Set<String> pending;

		private final long untilMs;

		private final BiConsumer<Optional<StreamOrigin>, LookupSource> consumer;

		private int answers;

		Lookup(String service, List<String> asked, long untilMs,
				BiConsumer<Optional<StreamOrigin>, LookupSource> consumer) {
			this.service = service;
			this.asked = asked.size();
			this.pending = new HashSet<>(asked);
			this.untilMs = untilMs;
			this.consumer = consumer;
		}

		private boolean isAnsweredByAll() {
			return this.answers == this.asked;
		}

	}

}
