package org.tallycart.core.stream;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.tallycart.core.fleet.VmRecord;
import org.tallycart.core.ini.Address;
import org.tallycart.core.serving.UpstreamEntry;
import org.tallycart.core.upstream.UpstreamDirectory;

/**
 * Simulation of VMs that begin streams at upstreams of several software versions, and of
 * callers that resume broken ones at any VM, in virtual time: the production registries,
 * directories and histories, and simulated messages and lists. Uses no network, threads
 * or clock.
 * <p>
 * Not thread-safe: belongs to one test.
 */
final class StreamOriginSimulation {

	private static final String SERVICE = "s";

	private static final int DOMAINS = 4;

	private static final long TICK_MS = 200;

	private static final long MESSAGE_MS = 2;

	private static final int MAX_LIST_LAG_MS = 400;

	/** Age up to which a VM takes its list for up to date. */
	private static final long UP_TO_DATE_AGE_MS = 2_000;

	/** Time for which a VM is gone after it was killed. */
	private static final long RESTART_MS = 1_500;

	private static final long MIN_STREAM_MS = 500;

	private static final int STREAM_RANGE_MS = 3_000;

	/** Range of the times until callers resume broken streams. */
	private static final int RETURN_RANGE_MS = 600;

	private final Random random;

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private final Map<String, UpstreamEntry> listed = new HashMap<>();

	private final List<Vm> vms;

	private List<Vm> resumingVms = List.of();

	private final Map<String, Vm> byName = new HashMap<>();

	private final List<VmRecord> records;

	private final long beginIntervalMs;

	private VersionHistory history = VersionHistory.EMPTY;

	private long nowMs;

	private long sequence;

	private int streams;

	/** Streams that went on at another version than the one that began them. */
	int mixed;

	/** Streams resumed at VMs in touch while their version serves. */
	int resumed;

	/** Those of them that went on. */
	int wentOn;

	/** Messages about the origins of streams that begin. */
	int originsSent;

	/** Whether VMs begin streams. */
	boolean beginning = true;

	/** Least time until a caller resumes a broken stream. */
	long returnMs = 1;

	StreamOriginSimulation(int vmCount, int beginsPerVmAndS, long seed) {
		this.random = new Random(seed);
		this.beginIntervalMs = 1_000 / beginsPerVmAndS;
		this.records = IntStream.range(0, vmCount)
			.mapToObj((i) -> new VmRecord("vm-" + i, new Address("10.0.0.1", i + 1), "d" + i % DOMAINS, 1))
			.toList();
		this.vms = this.records.stream().map((record) -> new Vm(record.vm(), record.failureDomain())).toList();
		this.resumingVms = this.vms;
		this.vms.forEach((vm) -> {
			this.byName.put(vm.name, vm);
			vm.start();
			after(this.random.nextInt((int) this.beginIntervalMs), vm::begin);
			after(this.random.nextInt((int) TICK_MS), vm::tick);
		});
	}

	int vmCount() {
		return this.vms.size();
	}

	List<Vm> inDomain(int domain) {
		return this.vms.stream().filter((vm) -> vm.domain.equals("d" + domain)).toList();
	}

	List<Vm> sample(int count) {
		List<Vm> shuffled = new ArrayList<>(this.vms);
		Collections.shuffle(shuffled, this.random);
		return shuffled.subList(0, count);
	}

	void after(long ms, Runnable action) {
		this.events.add(new Event(this.nowMs + ms, this.sequence++, action));
	}

	void run(long ms) {
		long end = this.nowMs + ms;
		while (!this.events.isEmpty() && this.events.peek().atMs <= end) {
			Event event = this.events.poll();
			this.nowMs = event.atMs;
			event.action.run();
		}
		this.nowMs = end;
	}

	// Lists upstreams of a version; each VM that is in touch learns of it after a delay.
	void list(String version, int count) {
		for (int i = 0; i < count; i++) {
			UpstreamEntry entry = UpstreamEntry.builder(version + "-" + i, SERVICE).softwareVersion(version).build();
			this.listed.put(entry.id(), entry);
		}
		onListChanged();
	}

	void unlist(String version) {
		this.listed.values().removeIf((entry) -> entry.softwareVersion().equals(version));
		onListChanged();
	}

	private void onListChanged() {
		after(TICK_MS,
				() -> this.history = this.history.updated(
						this.listed.values().stream().map(UpstreamEntry::softwareVersion).collect(Collectors.toSet()),
						this.nowMs));
		this.vms.forEach((vm) -> after(this.random.nextInt(MAX_LIST_LAG_MS), vm::readList));
	}

	private boolean serves(String version) {
		return this.listed.values().stream().filter((entry) -> entry.softwareVersion().equals(version)).count() >= 2;
	}

	void kill(List<Vm> killed) {
		killed.forEach((vm) -> {
			vm.alive = false;
			vm.incarnation++;
			after(RESTART_MS, vm::start);
		});
		killed.forEach(this::breakStreams);
	}

	private void breakStreams(Vm vm) {
		vm.running.stream()
			.filter((stream) -> stream.endsMs > this.nowMs)
			.forEach((stream) -> after(this.returnMs + this.random.nextInt(RETURN_RANGE_MS), () -> resume(stream)));
		vm.running.clear();
	}

	void stopGracefully(Vm vm) {
		vm.registry.handOver(this.nowMs);
		kill(List.of(vm));
	}

	void cut(List<Vm> cutVms, long ms) {
		cutVms.forEach((vm) -> {
			vm.cut = true;
			after(ms, () -> {
				vm.cut = false;
				vm.readList();
			});
		});
		cutVms.forEach(this::breakStreams);
	}

	/**
	 * Cut VMs off from the list and from the other VMs, but neither from each other nor
	 * from the store. Callers resume their streams at these VMs until they are back.
	 * @param group the VMs
	 * @param ms the time for which they are cut off
	 */
	void fallBehind(List<Vm> group, long ms) {
		this.resumingVms = group;
		group.forEach((vm) -> vm.behindSinceMs = this.nowMs);
		after(ms, () -> {
			this.resumingVms = this.vms;
			group.forEach((vm) -> {
				vm.behindSinceMs = Long.MAX_VALUE;
				vm.readList();
			});
		});
	}

	private void resume(Stream stream) {
		List<Vm> reachable = this.resumingVms.stream().filter((vm) -> vm.alive).toList();
		if (reachable.isEmpty()) {
			return;
		}
		Vm vm = reachable.get(this.random.nextInt(reachable.size()));
		boolean counts = !vm.cut && !vm.isBehind() && serves(stream.version);
		if (counts) {
			this.resumed++;
		}
		vm.resume(stream.id, (version) -> {
			if (!version.equals(stream.version)) {
				this.mixed++;
			}
			else if (counts) {
				this.wentOn++;
			}
		});
	}

	/**
	 * A stream in progress.
	 *
	 * @param id the id of the request that began it
	 * @param version the version that began it
	 * @param endsMs when it ends
	 */
	private record Stream(String id, String version, long endsMs) {
	}

	/**
	 * An action at a time.
	 *
	 * @param atMs the time
	 * @param number the order among events of one time
	 * @param action the action
	 */
	private record Event(long atMs, long number, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			return (this.atMs != other.atMs) ? Long.compare(this.atMs, other.atMs)
					: Long.compare(this.number, other.number);
		}

	}

	/** A simulated VM. */
	final class Vm implements StreamOriginPeers, ServedVersions {

		private final String name;

		private final String domain;

		private final Queue<Stream> running = new ArrayDeque<>();

		private UpstreamDirectory directory = new UpstreamDirectory();

		private StreamOriginRegistry registry = new StreamOriginRegistry("", this, this);

		private long upToDateSinceMs = Long.MAX_VALUE;

		private int incarnation;

		private boolean alive;

		private boolean cut;

		private long behindSinceMs = Long.MAX_VALUE;

		Vm(String name, String domain) {
			this.name = name;
			this.domain = domain;
		}

		private void start() {
			this.alive = true;
			this.directory = new UpstreamDirectory();
			this.registry = new StreamOriginRegistry(this.name, this, this);
			this.registry.updateVms(StreamOriginSimulation.this.records);
			this.upToDateSinceMs = Long.MAX_VALUE;
			readList();
		}

		private long now() {
			return StreamOriginSimulation.this.nowMs;
		}

		private boolean isBehind() {
			return this.behindSinceMs <= now();
		}

		private void readList() {
			if (this.alive && !this.cut && !isBehind()) {
				this.directory.replace(StreamOriginSimulation.this.listed.values(), now());
			}
		}

		private void tick() {
			after(TICK_MS, this::tick);
			if (!this.alive) {
				return;
			}
			if (this.cut || now() - this.behindSinceMs > UP_TO_DATE_AGE_MS) {
				this.upToDateSinceMs = Long.MAX_VALUE;
			}
			else if (this.upToDateSinceMs > now()) {
				this.upToDateSinceMs = now();
			}
			this.registry.tick(now());
		}

		private void begin() {
			after(StreamOriginSimulation.this.beginIntervalMs, this::begin);
			List<String> versions = this.directory.candidatesForNewStreams(SERVICE, now())
				.stream()
				.map((state) -> state.entry().softwareVersion())
				.toList();
			if (!this.alive || versions.isEmpty() || !StreamOriginSimulation.this.beginning) {
				return;
			}
			Random chance = StreamOriginSimulation.this.random;
			String version = versions.get(chance.nextInt(versions.size()));
			String id = "r" + StreamOriginSimulation.this.streams++;
			long endsMs = now() + MIN_STREAM_MS + chance.nextInt(STREAM_RANGE_MS);
			this.registry.onBegun(id, new StreamOrigin(SERVICE, version), 0, now());
			this.running.removeIf((stream) -> stream.endsMs <= now());
			this.running.add(new Stream(id, version, endsMs));
		}

		private void resume(String id, Consumer<String> onResumed) {
			this.registry.find(id, SERVICE, now(),
					(origin, source) -> origin.ifPresent((known) -> onResumed.accept(known.softwareVersion())));
			after(StreamOriginRegistry.LOOKUP_TIMEOUT_MS, () -> this.registry.expireLookups(now()));
		}

		private void send(String vm, Consumer<Vm> message) {
			Vm receiver = StreamOriginSimulation.this.byName.get(vm);
			int receiverIncarnation = receiver.incarnation;
			if (this.cut || receiver.cut || isBehind() != receiver.isBehind()) {
				return;
			}
			after(MESSAGE_MS, () -> {
				if (receiver.alive && receiver.incarnation == receiverIncarnation) {
					message.accept(receiver);
				}
			});
		}

		@Override
		public void sendOrigins(String vm, List<BegunStream> begun) {
			StreamOriginSimulation.this.originsSent++;
			send(vm, (receiver) -> receiver.registry.onOrigins(begun, now()));
		}

		@Override
		public void sendQuery(String vm, long number, String id) {
			send(vm, (receiver) -> receiver.registry.onQuery(this.name, number, id, now()));
		}

		@Override
		public void sendReply(String vm, long number, Optional<StreamOrigin> origin) {
			send(vm, (receiver) -> receiver.registry.onReply(this.name, number, origin, now()));
		}

		@Override
		public Optional<String> onlyVersion(String service, long nowMs) {
			long sinceMs = nowMs - StreamOriginRegistry.RETENTION_MS;
			return (this.upToDateSinceMs <= sinceMs) ? only(sinceMs) : Optional.empty();
		}

		private Optional<String> only(long sinceMs) {
			Set<String> versions = this.directory.softwareVersionsSince(SERVICE, sinceMs);
			return (versions.size() == 1) ? versions.stream().findFirst() : Optional.empty();
		}

		@Override
		public void findOnlyVersion(String service, boolean confirm, long nowMs, Consumer<Optional<String>> consumer) {
			long sinceMs = nowMs - StreamOriginRegistry.RETENTION_MS;
			boolean upToDate = this.upToDateSinceMs <= nowMs;
			VersionHistory recorded = StreamOriginSimulation.this.history;
			consumer.accept(only(sinceMs).filter((version) -> upToDate && !this.cut)
				.filter((version) -> !confirm && onlyVersion(service, nowMs).isPresent()
						|| recorded.onlyVersionSince(sinceMs).filter(version::equals).isPresent()));
		}

	}

}
