package org.tallycart.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import org.tallycart.core.ini.Address;

/**
 * VMs that learn what the store says, in virtual time: the tables and choosers that the
 * serving process runs, an imagined store whose calls are counted, and messages that take
 * a step at most. No network, no threads, no clock.
 * <p>
 * Not thread-safe: belongs to one test.
 */
final class StoreReaderSimulation {

	static final long STEP_MS = 50;

	/** A VM looks at its source this often, in milliseconds. */
	private static final long REVIEW_MS = 200;

	/** How long a VM that has just started takes to read a list, in milliseconds. */
	private static final long FIRST_ANSWER_MS = 100;

	/** What a start writes and reads of VMs' records, in calls. */
	private static final double RECORD_CALLS = 1.1;

	/** What a VM that begins to read calls: lists in pages, and two watches. */
	private static final double BEGIN_CALLS = 6;

	/** What a question costs whether the store answers. */
	private static final double ASK_CALLS = 0.1;

	/** Calls that read a second of everything: two watches, a list, probes. */
	private static final double READ_CALLS_PER_S = 2 / 1.5 + 0.1 + 0.25;

	final Map<String, Vm> vms = new TreeMap<>();

	final Set<String> down = new HashSet<>();

	/** VMs that the store does not answer. */
	final Set<String> cut = new HashSet<>();

	private final Map<String, VmRecord> stored = new TreeMap<>();

	private final Random random;

	private long nowMs;

	private long version = 1;

	private double calls;

	/**
	 * Create a fleet. Every fifth VM is large; VMs start within 0.3 s, the large ones
	 * first.
	 * @param count how many VMs there are
	 * @param domains how many failure domains they are spread over
	 * @param seed of the order in which they start
	 */
	StoreReaderSimulation(int count, int domains, long seed) {
		this.random = new Random(seed);
		for (int i = 0; i < count; i++) {
			int capacity = (i % 5 == 0) ? 1_500 : 360;
			VmRecord record = new VmRecord("vm-" + i, new Address("10.0.0.1", i + 1), "d" + i / 5 % domains, capacity);
			this.vms.put(record.vm(), new Vm(record, startDelayMs(capacity)));
		}
	}

	private long startDelayMs(int capacity) {
		return this.random.nextInt(150) + ((capacity > 1_000) ? 0 : 150);
	}

	void run(long ms) {
		for (long end = this.nowMs + ms; this.nowMs < end; this.nowMs += STEP_MS) {
			for (Vm vm : new ArrayList<>(this.vms.values())) {
				if (!this.down.contains(vm.name()) && this.nowMs >= vm.startMs) {
					vm.step();
				}
			}
		}
	}

	// All processes end at once, and start again.
	void restartAll() {
		new ArrayList<>(this.vms.keySet()).forEach(this::restart);
	}

	void restart(String name) {
		VmRecord record = this.vms.get(name).record;
		this.vms.put(name, new Vm(record, this.nowMs + startDelayMs(record.capacity())));
	}

	void change() {
		this.version++;
	}

	double takeCalls() {
		double taken = this.calls;
		this.calls = 0;
		return taken;
	}

	long reading() {
		return live().stream().filter((vm) -> vm.chooser.isReadingStore()).count();
	}

	String reader() {
		return live().stream().filter((vm) -> vm.chooser.isReadingStore()).findFirst().orElseThrow().name();
	}

	// A VM that is told by the reader and passes on.
	String relay() {
		return live().stream()
			.filter((vm) -> !vm.chooser.isReadingStore() && vm.followers() > 0)
			.findFirst()
			.orElseThrow()
			.name();
	}

	/**
	 * Return how long it takes until every live VM that the store answers knows what it
	 * says now.
	 * @param mostMs how long to wait
	 * @return milliseconds
	 */
	long msUntilAllKnow(long mostMs) {
		long beginMs = this.nowMs;
		while (live().stream().anyMatch((vm) -> !this.cut.contains(vm.name()) && vm.known < this.version)) {
			if (this.nowMs - beginMs > mostMs) {
				return Long.MAX_VALUE;
			}
			run(STEP_MS);
		}
		return this.nowMs - beginMs;
	}

	private Collection<Vm> live() {
		return this.vms.values().stream().filter((vm) -> !this.down.contains(vm.name())).toList();
	}

	/** A VM. */
	final class Vm {

		private final VmRecord record;

		private final long startMs;

		private final LeaderTable table;

		private final StoreSourceChooser chooser;

		private boolean started;

		private boolean recordsKnown;

		private long known;

		private long answeredFromMs;

		private long reviewedMs = -REVIEW_MS;

		private Vm(VmRecord record, long startMs) {
			this.record = record;
			this.startMs = startMs;
			this.table = new LeaderTable(record.vm());
			this.chooser = new StoreSourceChooser(record.vm(), record.failureDomain());
		}

		String name() {
			return this.record.vm();
		}

		private boolean answered() {
			return !StoreReaderSimulation.this.cut.contains(name());
		}

		private void step() {
			long now = StoreReaderSimulation.this.nowMs;
			start(now);
			learnRecords();
			if (now - this.reviewedMs >= REVIEW_MS) {
				this.reviewedMs = now;
				review(now);
			}
			if (this.chooser.isReadingStore()) {
				read(now);
			}
			beat(now);
			hear();
		}

		private void start(long now) {
			if (!this.started) {
				this.started = true;
				this.chooser.start(now);
				StoreReaderSimulation.this.calls += RECORD_CALLS;
				if (answered()) {
					StoreReaderSimulation.this.stored.put(name(), this.record);
					this.chooser.onRecordWritten(now);
					this.recordsKnown = true;
				}
			}
		}

		// The first list is read when the record is written; others follow from the
		// source.
		private void learnRecords() {
			if (this.recordsKnown && this.table.recordCount() < StoreReaderSimulation.this.stored.size()) {
				this.table.updateRecords(StoreReaderSimulation.this.stored.values());
			}
		}

		private void review(long now) {
			this.chooser.setHasSubscribers(followers() > 0);
			this.table.setWatchedRoles(this.chooser.watchedRoles(this.table, now));
			StoreSourceChooser.Action step = this.chooser.review(this.table, this.known > 0, this.recordsKnown, now);
			if (step == StoreSourceChooser.Action.PROBE) {
				ask(now);
			}
			if (step == StoreSourceChooser.Action.READ_STORE) {
				StoreReaderSimulation.this.calls += BEGIN_CALLS;
				this.answeredFromMs = now + FIRST_ANSWER_MS;
			}
		}

		private void ask(long now) {
			StoreReaderSimulation.this.calls += ASK_CALLS;
			if (answered()) {
				this.chooser.onProbeSuccess(now);
				review(now);
			}
			else {
				this.chooser.onProbeFailure();
			}
		}

		private void read(long now) {
			StoreReaderSimulation.this.calls += READ_CALLS_PER_S * STEP_MS / 1_000;
			if (answered() && now >= this.answeredFromMs) {
				this.chooser.onStoreRead(now);
				this.known = StoreReaderSimulation.this.version;
				this.recordsKnown = true;
			}
		}

		private void beat(long now) {
			this.table.detectFailures(now);
			for (VmRecord asked : this.table.dueHeartbeats(now)) {
				Vm other = StoreReaderSimulation.this.vms.get(asked.vm());
				boolean hears = other.started && !StoreReaderSimulation.this.down.contains(asked.vm());
				if (hears) {
					this.table.onAnswer(asked.vm(), other.startMs + 1, false, now);
					boolean passesOn = other.chooser.canRelay(now);
					this.chooser.onAnswer(asked.vm(), passesOn, passesOn ? other.chooser.storeAgeMs(now) : 0, now);
				}
			}
		}

		// What the source knows comes with its next message.
		private void hear() {
			String source = this.chooser.isReadingStore() ? ""
					: this.chooser.preferredSource(this.table, StoreReaderSimulation.this.nowMs);
			Vm other = StoreReaderSimulation.this.vms.get(source);
			if (other != null && !other.name().equals(name()) && !StoreReaderSimulation.this.down.contains(source)) {
				this.known = Math.max(this.known, other.known);
			}
		}

		long followers() {
			return StoreReaderSimulation.this.vms.values()
				.stream()
				.filter((vm) -> !vm.chooser.isReadingStore() && vm.chooser.source().equals(name()))
				.count();
		}

	}

}
