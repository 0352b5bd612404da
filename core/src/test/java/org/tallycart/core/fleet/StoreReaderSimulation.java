package org.tallycart.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import org.tallycart.core.ini.Address;
import org.tallycart.core.serving.UpstreamEntry;
import org.tallycart.core.upstream.UpstreamDirectory;

/**
 * Simulation of VMs that receive the store's contents, in virtual time: the production
 * tables and choosers, a simulated store whose calls are counted, and messages that take
 * one step at most. Uses no network, threads or clock.
 * <p>
 * Not thread-safe: belongs to one test.
 */
final class StoreReaderSimulation {

	static final long STEP_MS = 50;

	/** Period in which a VM reviews its source, in milliseconds. */
	private static final long REVIEW_MS = 200;

	/**
	 * Time until a VM that starts to read the store has its first list, in milliseconds.
	 */
	private static final long FIRST_REPLY_MS = 100;

	/** Store calls of a starting VM for its own and the other VMs' records. */
	private static final double RECORD_CALLS = 1.1;

	/** Store calls of a VM that starts to read: paged lists, and two watches. */
	private static final double INITIAL_READ_CALLS = 6;

	/** Period of the probes of a VM that reads the store, in milliseconds. */
	private static final long PROBE_MS = 400;

	private static final UpstreamEntry UPSTREAM = UpstreamEntry.builder("u", "s").build();

	private static final UpstreamEntry DRAINING_UPSTREAM = UpstreamEntry.builder("u", "s").draining(true).build();

	/** Cost of a store probe, in calls. */
	private static final double PROBE_CALLS = 0.1;

	/** Store calls per second of a reader: two watches, a list, probes. */
	private static final double READ_CALLS_PER_S = 2 / 1.5 + 0.1 + 0.25;

	final Map<String, Vm> vms = new TreeMap<>();

	final Set<String> down = new HashSet<>();

	/** The VMs that do not reach the store. */
	final Set<String> storeUnreachable = new HashSet<>();

	private final Map<String, VmRecord> stored = new TreeMap<>();

	private final Random random;

	private long nowMs;

	private long version = 1;

	// Version up to which the store lists the upstream.
	private long listedUntil = Long.MAX_VALUE;

	private boolean draining;

	private double calls;

	/**
	 * Create a simulation. Every fifth VM is large; VMs start within 0.3 s, the large
	 * ones first.
	 * @param count the number of VMs
	 * @param domains the number of failure domains
	 * @param seed the seed of the start order
	 */
	StoreReaderSimulation(int count, int domains, long seed) {
		this.random = new Random(seed);
		for (int i = 0; i < count; i++) {
			int capacity = (i % 5 == 0) ? 1_500 : 360;
			VmRecord record = new VmRecord("vm-" + i, new Address("10.0.0.1", i + 1), "d" + i / 5 % domains, capacity);
			this.vms.put(record.vm(), new Vm(record, randomStartDelayMs(capacity)));
		}
	}

	private long randomStartDelayMs(int capacity) {
		return this.random.nextInt(150) + ((capacity > 1_000) ? 0 : 150);
	}

	void run(long ms) {
		for (long end = this.nowMs + ms; this.nowMs < end; this.nowMs += STEP_MS) {
			for (Vm vm : new ArrayList<>(this.vms.values())) {
				if (!this.down.contains(vm.name()) && this.nowMs >= vm.startMs) {
					vm.advance();
				}
			}
		}
	}

	// All processes stop at once and start again.
	void restartAll() {
		new ArrayList<>(this.vms.keySet()).forEach(this::restart);
	}

	void restart(String name) {
		VmRecord record = this.vms.get(name).record;
		this.vms.put(name, new Vm(record, this.nowMs + randomStartDelayMs(record.capacity())));
	}

	void change() {
		this.version++;
	}

	// The entry of the upstream vanishes from the store.
	void removeUpstream() {
		this.listedUntil = this.version;
		change();
	}

	// The entry of the upstream states that it drains.
	void drainUpstream() {
		this.draining = true;
		change();
	}

	// The entry of the upstream is back.
	void restoreUpstream() {
		this.listedUntil = Long.MAX_VALUE;
		change();
	}

	/**
	 * Return the live VMs that would send requests to the upstream.
	 * @return the names of the VMs
	 */
	Set<String> sendingVms() {
		Set<String> sending = new HashSet<>();
		live().forEach((vm) -> {
			if (!vm.directory.candidates("s", this.nowMs).isEmpty()) {
				sending.add(vm.name());
			}
		});
		return sending;
	}

	double takeCalls() {
		double taken = this.calls;
		this.calls = 0;
		return taken;
	}

	long readerCount() {
		return live().stream().filter((vm) -> vm.chooser.isReadingStore()).count();
	}

	String reader() {
		return live().stream().filter((vm) -> vm.chooser.isReadingStore()).findFirst().orElseThrow().name();
	}

	// Returns a VM that subscribes to the reader and has subscribers.
	String relay() {
		return live().stream()
			.filter((vm) -> !vm.chooser.isReadingStore() && vm.subscriberCount() > 0)
			.findFirst()
			.orElseThrow()
			.name();
	}

	/**
	 * Return the time until every live VM that reaches the store has its current version.
	 * @param timeoutMs the maximum time to simulate, in milliseconds
	 * @return the time in milliseconds; {@link Long#MAX_VALUE} after the timeout
	 */
	long msUntilAllUpdated(long timeoutMs) {
		long beginMs = this.nowMs;
		while (live().stream()
			.anyMatch((vm) -> !this.storeUnreachable.contains(vm.name()) && vm.version < this.version)) {
			if (this.nowMs - beginMs > timeoutMs) {
				return Long.MAX_VALUE;
			}
			run(STEP_MS);
		}
		return this.nowMs - beginMs;
	}

	private Collection<Vm> live() {
		return this.vms.values().stream().filter((vm) -> !this.down.contains(vm.name())).toList();
	}

	/** A simulated VM. */
	final class Vm {

		private final VmRecord record;

		private final long startMs;

		private final LeaderTable table;

		private final StoreSourceChooser chooser;

		private final UpstreamDirectory directory = new UpstreamDirectory();

		private boolean started;

		private boolean recordsLoaded;

		private long version;

		private long repliesFromMs;

		private long reviewedMs = -REVIEW_MS;

		private long probedMs = -PROBE_MS;

		private Vm(VmRecord record, long startMs) {
			this.record = record;
			this.startMs = startMs;
			this.table = new LeaderTable(record.vm());
			this.chooser = new StoreSourceChooser(record.vm(), record.failureDomain());
		}

		String name() {
			return this.record.vm();
		}

		private boolean isStoreReachable() {
			return !StoreReaderSimulation.this.storeUnreachable.contains(name());
		}

		private void advance() {
			long now = StoreReaderSimulation.this.nowMs;
			start(now);
			updateRecords();
			if (now - this.reviewedMs >= REVIEW_MS) {
				this.reviewedMs = now;
				review(now);
			}
			if (this.chooser.isReadingStore()) {
				read(now);
			}
			sendHeartbeats(now);
			receiveUpdates();
			this.directory.expireVanished(now);
		}

		private void receive(long received) {
			if (received <= this.version) {
				return;
			}
			this.version = received;
			if (received > StoreReaderSimulation.this.listedUntil) {
				this.directory.remove(UPSTREAM.id(), StoreReaderSimulation.this.nowMs);
			}
			else {
				this.directory.put(StoreReaderSimulation.this.draining ? DRAINING_UPSTREAM : UPSTREAM,
						StoreReaderSimulation.this.nowMs);
			}
		}

		private void start(long now) {
			if (!this.started) {
				this.started = true;
				this.chooser.start(now);
				StoreReaderSimulation.this.calls += RECORD_CALLS;
				if (isStoreReachable()) {
					StoreReaderSimulation.this.stored.put(name(), this.record);
					this.chooser.onRecordWritten(now);
					this.recordsLoaded = true;
				}
			}
		}

		// The first list is read when the record is written; later ones come from the
		// source.
		private void updateRecords() {
			if (this.recordsLoaded && this.table.recordCount() < StoreReaderSimulation.this.stored.size()) {
				this.table.updateRecords(StoreReaderSimulation.this.stored.values());
			}
		}

		private void review(long now) {
			this.chooser.setHasSubscribers(subscriberCount() > 0);
			this.table.setWatchedRoles(this.chooser.watchedRoles(this.table, now));
			StoreSourceChooser.Action action = this.chooser.review(this.table, this.version > 0, this.recordsLoaded,
					now);
			if (action == StoreSourceChooser.Action.PROBE) {
				probe(now);
			}
			if (action == StoreSourceChooser.Action.READ_STORE) {
				StoreReaderSimulation.this.calls += INITIAL_READ_CALLS;
				this.repliesFromMs = now + FIRST_REPLY_MS;
			}
		}

		private void probe(long now) {
			StoreReaderSimulation.this.calls += PROBE_CALLS;
			if (isStoreReachable()) {
				this.directory.onStoreAvailable(now, now);
				this.chooser.onProbeSuccess(now);
				review(now);
			}
			else {
				this.chooser.onProbeFailure();
			}
		}

		private void read(long now) {
			StoreReaderSimulation.this.calls += READ_CALLS_PER_S * STEP_MS / 1_000;
			if (isStoreReachable() && now >= this.repliesFromMs) {
				if (now - this.probedMs >= PROBE_MS) {
					this.probedMs = now;
					this.chooser.onStoreRead(now);
					this.directory.onStoreAvailable(now, now);
				}
				receive(StoreReaderSimulation.this.version);
				this.recordsLoaded = true;
			}
		}

		private void sendHeartbeats(long now) {
			this.table.detectFailures(now);
			for (VmRecord requested : this.table.dueHeartbeats(now)) {
				Vm other = StoreReaderSimulation.this.vms.get(requested.vm());
				boolean reachable = other.started && !StoreReaderSimulation.this.down.contains(requested.vm());
				if (reachable) {
					this.table.onReply(requested.vm(), other.startMs + 1, false, now);
					boolean canRelay = other.chooser.canRelay(now);
					long ageMs = canRelay ? other.chooser.storeAgeMs(now) : 0;
					this.chooser.onReply(requested.vm(), canRelay, ageMs, now);
					if (canRelay) {
						this.directory.onStoreAvailable(now - ageMs, now);
					}
				}
			}
		}

		// The version of the source arrives with its next message.
		private void receiveUpdates() {
			String source = this.chooser.isReadingStore() ? ""
					: this.chooser.preferredSource(this.table, StoreReaderSimulation.this.nowMs);
			Vm other = StoreReaderSimulation.this.vms.get(source);
			if (other != null && !other.name().equals(name()) && !StoreReaderSimulation.this.down.contains(source)) {
				receive(other.version);
			}
		}

		long subscriberCount() {
			return StoreReaderSimulation.this.vms.values()
				.stream()
				.filter((vm) -> !vm.chooser.isReadingStore() && vm.chooser.source().equals(name()))
				.count();
		}

	}

}
