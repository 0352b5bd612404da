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
 * The steward's replica of the fleet's state: three registers, the parts of the
 * configuration, and the upstreams known to be draining.
 * <p>
 * Invariants: the version of a register never decreases; a configuration is applied only
 * when all its parts are present, and the content of each part matches its digest. Not
 * thread-safe: confined to the control thread.
 *
 * @since 0.1
 */
final class FleetState {

	private final EventLog events;

	private final Map<String, VersionedRegister> registers = new LinkedHashMap<>();

	private final Map<String, byte[]> blobs = new HashMap<>();

	private final TreeSet<String> drainingUpstreams = new TreeSet<>();

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
	 * Offer a register's value. A configuration with missing parts is kept as pending and
	 * applied once they are present.
	 * @param name the register
	 * @param version the version
	 * @param value the value
	 * @param source the sender of the value, for the events
	 * @return true if the value was newer and was applied
	 */
	boolean offer(String name, long version, byte[] value, String source) {
		VersionedRegister register = this.registers.get(name);
		if (register == null) {
			return false;
		}
		if (version > register.version() && !isApplicable(name, version, value)) {
			return false;
		}
		VersionedRegister.OfferResult result = register.offer(version, value);
		String detail = name + " version=" + version + " known=" + register.version() + " from=" + source;
		switch (result) {
			case APPLIED -> onApplied(name, version, value, detail);
			case REFUSED_OLD -> this.events.emit(EventCode.REGISTER_REFUSED_OLD, detail);
			case REFUSED_DIFFERENT -> this.events.emit(EventCode.REGISTER_REFUSED_DIFFERENT, detail);
			default -> {
				// The register already holds the value.
			}
		}
		return result == VersionedRegister.OfferResult.APPLIED;
	}

	// Keeps a configuration with missing parts as pending.
	private boolean isApplicable(String name, long version, byte[] value) {
		if (!name.equals(RegisterName.CONFIG)) {
			return true;
		}
		Either<String, Manifest> decoded = Manifest.decode(text(value));
		if (decoded.isLeft() || decoded.get().version() != version) {
			this.events.emit(EventCode.PART_MISSING,
					"manifest version=" + version + " cannot be decoded or states another version");
			return false;
		}
		List<String> missing = missingParts(decoded.get());
		if (missing.isEmpty()) {
			return true;
		}
		if (this.pending == null || this.pending.manifest.version() < version) {
			this.pending = new PendingConfig(decoded.get(), value);
		}
		return false;
	}

	private List<String> missingParts(Manifest required) {
		return required.parts()
			.values()
			.stream()
			.filter((digest) -> !this.blobs.containsKey(digest))
			.distinct()
			.toList();
	}

	private void onApplied(String name, long version, byte[] value, String detail) {
		this.events.emit(EventCode.REGISTER_APPLIED, detail);
		switch (name) {
			case RegisterName.CONFIG -> applyManifest(Manifest.decode(text(value)).get());
			case RegisterName.SLOTS -> SlotMap.decode(text(value)).peek((map) -> this.slots = map);
			default -> VmList.decode(version, text(value)).peek((list) -> this.vms = list);
		}
		this.listeners.forEach(Runnable::run);
	}

	private void applyManifest(Manifest next) {
		InvariantViolation.check(next.version() > this.manifest.version(),
				"the configuration's version did not increase");
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
	 * Return the missing parts of the pending configuration.
	 * @return the digests of the parts; empty if no configuration is pending
	 */
	List<String> missingBlobs() {
		return (this.pending != null) ? missingParts(this.pending.manifest) : List.of();
	}

	/**
	 * Store a part if its content matches the digest, and apply the pending configuration
	 * if this was its last missing part.
	 * @param digest the digest
	 * @param value the content
	 * @param source the sender of the part, for the events
	 */
	void offerBlob(String digest, byte[] value, String source) {
		if (!Digest.of(value).equals(digest)) {
			this.events.emit(EventCode.PART_MISSING, "a part from " + source + " does not match the digest " + digest);
			return;
		}
		this.blobs.put(digest, value);
		PendingConfig completed = this.pending;
		if (completed != null && missingParts(completed.manifest).isEmpty()) {
			this.pending = null;
			offer(RegisterName.CONFIG, completed.manifest.version(), completed.value, source);
		}
	}

	/**
	 * Add upstreams that are draining.
	 * @param upstreams the ids of the upstreams
	 * @return true if any of them was not known to be draining
	 */
	boolean offerDraining(Collection<String> upstreams) {
		boolean changed = false;
		for (String upstream : upstreams) {
			if (this.drainingUpstreams.add(upstream)) {
				this.events.emit(EventCode.LEAVING_HEARD, upstream);
				changed = true;
			}
		}
		if (changed) {
			this.listeners.forEach(Runnable::run);
		}
		return changed;
	}

	TreeSet<String> drainingUpstreams() {
		return this.drainingUpstreams;
	}

	long drainingDigest() {
		long digest = 0;
		for (String upstream : this.drainingUpstreams) {
			digest = digest * 1_000_003 + upstream.hashCode();
		}
		return digest;
	}

	Collection<VersionedRegister> registers() {
		return this.registers.values();
	}

	VersionedRegister register(String name) {
		return InvariantViolation.requirePresent(this.registers.get(name), "unknown register " + name);
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
