package org.tallycart.steward;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.tallycart.core.claim.SlotMap;
import org.tallycart.core.membership.VmList;
import org.tallycart.core.outcome.InvariantViolation;
import org.tallycart.core.replication.Digest;
import org.tallycart.core.replication.Manifest;
import org.tallycart.core.replication.VersionedRegister;
import org.tallycart.runtime.event.EventCode;
import org.tallycart.runtime.event.EventLog;

/**
 * What this steward holds of the fleet's state: three registers, the parts of the
 * configuration, and the upstreams known to be leaving.
 * <p>
 * Invariants: a register's version never falls; the configuration is taken only with all
 * its parts, each of which has the digest it is named by. Not thread-safe: confined to
 * the control thread.
 *
 * @since 0.1
 */
final class FleetState {

	private final EventLog events;

	private final Map<String, VersionedRegister> registers = new LinkedHashMap<>();

	private final Map<String, byte[]> blobs = new HashMap<>();

	private final TreeSet<String> leaving = new TreeSet<>();

	private final List<Runnable> listeners = new ArrayList<>();

	private Manifest manifest = Manifest.EMPTY;

	private SlotMap slots;

	private VmList vms = VmList.EMPTY;

	private @Nullable PendingConfig pending;

	FleetState(EventLog events, int slotCount) {
		this.events = events;
		this.slots = SlotMap.empty(slotCount);
		for (String name : List.of(RegisterName.CONFIG, RegisterName.SLOTS, RegisterName.VMS)) {
			this.registers.put(name, VersionedRegister.create(name));
		}
	}

	void onChange(Runnable listener) {
		this.listeners.add(listener);
	}

	/**
	 * Offer a register's value. A configuration whose parts are not all here is kept
	 * aside until they are.
	 * @param name the register
	 * @param version the version
	 * @param value the value
	 * @param source who it came from, for the events
	 * @return whether it is news and was taken
	 */
	boolean offer(String name, long version, byte[] value, String source) {
		VersionedRegister register = this.registers.get(name);
		if (register == null) {
			return false;
		}
		if (version > register.version() && !readable(name, version, value)) {
			return false;
		}
		VersionedRegister.OfferResult acceptance = register.offer(version, value);
		String detail = name + " version=" + version + " known=" + register.version() + " from=" + source;
		switch (acceptance) {
			case APPLIED -> applied(name, version, value, detail);
			case REFUSED_OLD -> this.events.emit(EventCode.REGISTER_REFUSED_OLD, detail);
			case REFUSED_DIFFERENT -> this.events.emit(EventCode.REGISTER_REFUSED_DIFFERENT, detail);
			default -> {
				// The value is known already.
			}
		}
		return acceptance == VersionedRegister.OfferResult.APPLIED;
	}

	private boolean readable(String name, long version, byte[] value) {
		if (!name.equals(RegisterName.CONFIG)) {
			return true;
		}
		Either<String, Manifest> decoded = Manifest.decode(text(value));
		if (decoded.isLeft() || decoded.get().version() != version) {
			this.events.emit(EventCode.PART_MISSING, "manifest version=" + version + " is not readable");
			return false;
		}
		List<String> missing = missing(decoded.get());
		if (missing.isEmpty()) {
			return true;
		}
		if (this.pending == null || this.pending.manifest.version() < version) {
			this.pending = new PendingConfig(decoded.get(), value);
		}
		return false;
	}

	private List<String> missing(Manifest wanted) {
		return wanted.parts().values().stream().filter((digest) -> !this.blobs.containsKey(digest)).distinct().toList();
	}

	private void applied(String name, long version, byte[] value, String detail) {
		this.events.emit(EventCode.REGISTER_APPLIED, detail);
		switch (name) {
			case RegisterName.CONFIG -> adoptManifest(Manifest.decode(text(value)).get());
			case RegisterName.SLOTS -> SlotMap.decode(text(value)).peek((map) -> this.slots = map);
			default -> VmList.decode(version, text(value)).peek((list) -> this.vms = list);
		}
		this.listeners.forEach(Runnable::run);
	}

	private void adoptManifest(Manifest next) {
		InvariantViolation.check(next.version() > this.manifest.version(), "the configuration's version fell");
		this.manifest = next;
		if (this.pending != null && this.pending.manifest.version() <= next.version()) {
			this.pending = null;
		}
		Collection<String> needed = new TreeSet<>(next.parts().values());
		if (this.pending != null) {
			needed.addAll(this.pending.manifest.parts().values());
		}
		this.blobs.keySet().retainAll(needed);
	}

	/**
	 * Return the parts that a configuration kept aside still lacks.
	 * @return their digests
	 */
	List<String> missingBlobs() {
		return (this.pending != null) ? missing(this.pending.manifest) : List.of();
	}

	/**
	 * Take a part, if its content has its digest, and the configuration that waited for
	 * it.
	 * @param digest the digest
	 * @param value the content
	 * @param source who it came from
	 */
	void offerBlob(String digest, byte[] value, String source) {
		if (!Digest.of(value).equals(digest)) {
			this.events.emit(EventCode.PART_MISSING, "a part from " + source + " has not the digest " + digest);
			return;
		}
		this.blobs.put(digest, value);
		PendingConfig waiting = this.pending;
		if (waiting != null && missing(waiting.manifest).isEmpty()) {
			this.pending = null;
			offer(RegisterName.CONFIG, waiting.manifest.version(), waiting.value, source);
		}
	}

	/**
	 * Take news of upstreams that are leaving.
	 * @param upstreams the upstreams
	 * @return whether any of them is news
	 */
	boolean offerLeaving(Collection<String> upstreams) {
		boolean news = false;
		for (String upstream : upstreams) {
			if (this.leaving.add(upstream)) {
				this.events.emit(EventCode.LEAVING_HEARD, upstream);
				news = true;
			}
		}
		if (news) {
			this.listeners.forEach(Runnable::run);
		}
		return news;
	}

	TreeSet<String> leaving() {
		return this.leaving;
	}

	long leavingDigest() {
		long digest = 0;
		for (String upstream : this.leaving) {
			digest = digest * 1_000_003 + upstream.hashCode();
		}
		return digest;
	}

	Collection<VersionedRegister> registers() {
		return this.registers.values();
	}

	VersionedRegister register(String name) {
		return InvariantViolation.requirePresent(this.registers.get(name), "no register " + name);
	}

	byte @Nullable [] blob(String digest) {
		return this.blobs.get(digest);
	}

	Manifest manifest() {
		return this.manifest;
	}

	SlotMap slots() {
		return this.slots;
	}

	VmList vms() {
		return this.vms;
	}

	private static String text(byte[] value) {
		return new String(value, StandardCharsets.UTF_8);
	}

	private record PendingConfig(Manifest manifest, byte[] value) {
	}

}
