package org.tallycart.core.link;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToIntFunction;

import org.tallycart.core.membership.RendezvousHash;

/**
 * Selects the VMs that make calls to upstreams for a VM that cannot connect to them.
 * <p>
 * Each VM ranks the others by a hash of its own name, so that many VMs without links
 * spread over all others. A few VMs are asked whether they make calls; those that accept,
 * and are heard regularly, are used. One that declines or falls silent is replaced.
 * <p>
 * Invariant: a VM is selected only while it has accepted within the last
 * {@link #SILENCE_MS}. Not thread-safe: confined to the event loop.
 *
 * @since 0.1
 */
public final class RelaySelector {

	/** Time after which a VM that is not heard is not used any more, in milliseconds. */
	public static final long SILENCE_MS = 700;

	/** Number of VMs that are asked and used at a time. */
	private static final int RELAYS = 3;

	/** Interval of the questions to a VM, in milliseconds. */
	private static final long OFFER_INTERVAL_MS = 200;

	/** Time for which a VM that declined or fell silent is not asked, in milliseconds. */
	private static final long EXCLUSION_MS = 2_000;

	private final String vm;

	private final Map<String, Relay> relays = new HashMap<>();

	private final Map<String, Long> excludedUntilMs = new HashMap<>();

	private Set<String> rankedVms = Set.of();

	private List<String> rank = List.of();

	private long selections;

	/**
	 * Create a selector.
	 * @param vm the name of this VM
	 */
	public RelaySelector(String vm) {
		this.vm = vm;
	}

	/**
	 * Return the VMs to ask now. To be called periodically while relays are needed.
	 * @param vms all VMs
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return the names of the VMs
	 */
	public List<String> dueOffers(Set<String> vms, long nowMs) {
		fill(vms, nowMs);
		List<String> due = new ArrayList<>();
		this.relays.forEach((name, relay) -> {
			if (nowMs >= relay.nextOfferMs) {
				relay.nextOfferMs = nowMs + OFFER_INTERVAL_MS;
				due.add(name);
			}
		});
		return due;
	}

	private void fill(Set<String> vms, long nowMs) {
		this.relays.keySet().retainAll(vms);
		this.excludedUntilMs.values().removeIf((until) -> nowMs >= until);
		if (this.relays.size() >= RELAYS) {
			return;
		}
		for (String name : rank(vms)) {
			if (this.relays.size() >= RELAYS) {
				return;
			}
			if (!this.excludedUntilMs.containsKey(name)) {
				this.relays.computeIfAbsent(name, (key) -> new Relay(key, nowMs));
			}
		}
	}

	private List<String> rank(Set<String> vms) {
		if (!vms.equals(this.rankedVms)) {
			this.rankedVms = Set.copyOf(vms);
			List<String> others = new ArrayList<>(vms);
			others.remove(this.vm);
			this.rank = RendezvousHash.top(this.vm, others, others.size());
		}
		return this.rank;
	}

	/**
	 * Record the answer of a VM.
	 * @param name the name of the VM
	 * @param accepts whether it makes calls for this VM
	 * @param nowMs the current monotonic time, in milliseconds
	 */
	public void onAnswer(String name, boolean accepts, long nowMs) {
		if (!accepts) {
			exclude(name, nowMs);
			return;
		}
		Relay relay = this.relays.get(name);
		if (relay != null) {
			relay.accepted = true;
			relay.heardMs = nowMs;
		}
	}

	/**
	 * Record that bytes of a VM were received.
	 * @param name the name of the VM
	 * @param nowMs the current monotonic time, in milliseconds
	 */
	public void onHeard(String name, long nowMs) {
		Relay relay = this.relays.get(name);
		if (relay != null) {
			relay.heardMs = nowMs;
		}
	}

	/**
	 * Stop using a VM for some time.
	 * @param name the name of the VM
	 * @param nowMs the current monotonic time, in milliseconds
	 */
	public void exclude(String name, long nowMs) {
		this.relays.remove(name);
		this.excludedUntilMs.put(name, nowMs + EXCLUSION_MS);
	}

	/**
	 * Exclude the VMs that have fallen silent.
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return their names
	 */
	public List<String> detectSilent(long nowMs) {
		List<String> silent = this.relays.entrySet()
			.stream()
			.filter((entry) -> nowMs - entry.getValue().heardMs >= SILENCE_MS)
			.map(Map.Entry::getKey)
			.toList();
		silent.forEach((name) -> exclude(name, nowMs));
		return silent;
	}

	/**
	 * Select the VM for a call.
	 * @param callsInProgress returns the number of calls that a VM makes for this one
	 * @return the name of the VM with the fewest calls in progress, and of these the one
	 * not selected for the longest time; empty if none has accepted
	 */
	public Optional<String> select(ToIntFunction<String> callsInProgress) {
		Optional<Relay> selected = this.relays.values()
			.stream()
			.filter((relay) -> relay.accepted)
			.min(Comparator.comparingInt((Relay relay) -> callsInProgress.applyAsInt(relay.name))
				.thenComparingLong((relay) -> relay.lastSelection));
		selected.ifPresent((relay) -> relay.lastSelection = ++this.selections);
		return selected.map((relay) -> relay.name);
	}

	/** Forget all answers; to be called when relays are no longer needed. */
	public void reset() {
		this.relays.clear();
		this.excludedUntilMs.clear();
	}

	/** A VM that was asked. */
	private static final class Relay {

		private final String name;

		private boolean accepted;

		private long heardMs;

		private long nextOfferMs;

		private long lastSelection;

		Relay(String name, long nowMs) {
			this.name = name;
			this.heardMs = nowMs;
			this.nextOfferMs = nowMs;
		}

	}

}
