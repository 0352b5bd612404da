package org.tallycart.steward;

import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import org.tallycart.core.ini.Address;
import org.tallycart.core.membership.Vm;
import org.tallycart.core.membership.VmList;
import org.tallycart.core.membership.VmState;
import org.tallycart.core.membership.WatcherSelection;
import org.tallycart.core.replication.Digest;
import org.tallycart.core.replication.Manifest;
import org.tallycart.core.replication.ManifestParts;
import org.tallycart.core.time.HybridClock;
import org.tallycart.runtime.event.EventLog;
import org.tallycart.runtime.process.Clocks;
import org.tallycart.wire.WireCaller;
import org.tallycart.wire.WireError;
import org.tallycart.wire.message.Ack;
import org.tallycart.wire.message.Envelope;

/**
 * Simulates the propagation of a change through many stewards in one process. Membership,
 * registers and gossip are the production code; the network is a queue of tasks in
 * virtual time. Messages are encoded and decoded, so sizes and processor time match
 * production, except for the time spent in the kernel.
 * <p>
 * Not thread-safe.
 *
 * @since 0.1
 */
public final class GossipSimulation {

	private static final int DOMAINS = 11;

	private static final long HEARTBEAT_MS = 1_000;

	private static final int FANOUT = 3;

	private static final long MAX_LATENCY_MS = 2;

	private static final long WARM_UP_MS = 15_000;

	private static final long IDLE_SAMPLE_MS = 10_000;

	private static final long CHANGE_SAMPLE_MS = 11_000;

	/** Overhead of TCP, IP and framing for each message. */
	private static final int OVERHEAD_BYTES = 44;

	private static final int PORTS_PER_HOST = 1_000;

	private final Random random;

	private final List<SimulatedSteward> stewards = new ArrayList<>();

	private final Map<Address, SimulatedSteward> byAddress = new HashMap<>();

	private final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>(
			Comparator.comparingLong((ScheduledTask task) -> task.atMs).thenComparingLong((task) -> task.order));

	private long nowMs;

	private long order;

	private long messages;

	private long bytes;

	private GossipSimulation(long seed) {
		this.random = new Random(seed);
	}

	/**
	 * Simulate a fleet and measure the propagation of one change of the configuration.
	 * @param size the number of stewards, which is also the seed of the random numbers
	 * @param workspaces the number of workspaces that the configuration declares
	 * @param lossPercent the share of messages lost, in percent
	 * @return the measurements
	 */
	public static Result measure(int size, int workspaces, int lossPercent) {
		return new GossipSimulation(size).run(size, workspaces, lossPercent);
	}

	private Result run(int size, int workspaces, int lossPercent) {
		VmList vmList = createVmList(size);
		for (Vm vm : vmList.vms()) {
			SimulatedSteward steward = new SimulatedSteward(vm, lossPercent);
			this.stewards.add(steward);
			this.byAddress.put(vm.address(), steward);
		}
		byte[] listBytes = vmList.encode().getBytes(StandardCharsets.UTF_8);
		Config first = Config.of(Manifest.EMPTY, workspaces, 0);
		for (SimulatedSteward steward : this.stewards) {
			steward.state.offer(RegisterName.VMS, 1, listBytes, "start");
			first.offerTo(steward.state);
			schedule(this.random.nextInt((int) HEARTBEAT_MS), steward::runHeartbeats);
		}
		runUntil(WARM_UP_MS);
		TrafficSample idle = sampleTraffic(IDLE_SAMPLE_MS);
		Config second = Config.of(first.manifest, workspaces, 1);
		long changedMs = this.nowMs;
		for (SimulatedSteward steward : this.stewards) {
			if (WatcherSelection.isWatcher(steward.vm.id(), steward.vm.domain(), vmList)) {
				schedule(this.random.nextInt((int) MAX_LATENCY_MS + 1), () -> {
					second.offerTo(steward.state);
					steward.gossip.round();
				});
			}
		}
		long untilMs = this.nowMs + CHANGE_SAMPLE_MS;
		long messagesBefore = this.messages;
		long bytesBefore = this.bytes;
		while (this.nowMs < untilMs && countBehind(2) > 0) {
			runUntil(this.nowMs + MAX_LATENCY_MS);
		}
		long propagationMs = (countBehind(2) == 0) ? this.nowMs - changedMs : -1;
		runUntil(untilMs);
		double idleBytes = idle.bytes * (double) CHANGE_SAMPLE_MS / IDLE_SAMPLE_MS;
		double idleMessages = idle.messages * (double) CHANGE_SAMPLE_MS / IDLE_SAMPLE_MS;
		return new Result(size, workspaces, propagationMs, perStewardSecond(idle.messages, IDLE_SAMPLE_MS),
				perStewardSecond(idle.bytes, IDLE_SAMPLE_MS), 100.0 * idle.cpuNs / 1_000_000 / IDLE_SAMPLE_MS / size,
				(this.messages - messagesBefore - idleMessages) / size, (this.bytes - bytesBefore - idleBytes) / size,
				listBytes.length, first.bytes());
	}

	private double perStewardSecond(long count, long millis) {
		return count * 1_000.0 / millis / this.stewards.size();
	}

	private TrafficSample sampleTraffic(long millis) {
		long messagesBefore = this.messages;
		long bytesBefore = this.bytes;
		long cpuBefore = cpuNs();
		runUntil(this.nowMs + millis);
		return new TrafficSample(this.messages - messagesBefore, this.bytes - bytesBefore, cpuNs() - cpuBefore);
	}

	private static long cpuNs() {
		return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
	}

	private long countBehind(long version) {
		return this.stewards.stream().filter((steward) -> steward.state.manifest().version() < version).count();
	}

	private static VmList createVmList(int size) {
		List<Vm> vms = new ArrayList<>();
		for (int i = 0; i < size; i++) {
			Address address = new Address("10.0." + i / PORTS_PER_HOST + ".1", 10_000 + i % PORTS_PER_HOST);
			vms.add(new Vm("vm-" + i, Vm.ROLE_ENTRY, "domain-" + i % DOMAINS, address, VmState.LIVE));
		}
		return new VmList(1, vms);
	}

	private void schedule(long delayMs, Runnable action) {
		this.tasks.add(new ScheduledTask(this.nowMs + delayMs, this.order++, action));
	}

	private void runUntil(long untilMs) {
		while (!this.tasks.isEmpty() && this.tasks.peek().atMs <= untilMs) {
			ScheduledTask task = this.tasks.remove();
			this.nowMs = task.atMs;
			task.action.run();
		}
		this.nowMs = untilMs;
	}

	private Envelope transmit(Envelope message) {
		this.messages++;
		byte[] encoded = message.toByteArray();
		this.bytes += encoded.length + OVERHEAD_BYTES;
		try {
			return Envelope.parseFrom(encoded);
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalStateException("cannot decode a message that was just encoded", ex);
		}
	}

	private long latencyMs() {
		return 1 + this.random.nextInt((int) MAX_LATENCY_MS);
	}

	/**
	 * Measurements of one simulation.
	 *
	 * @param size the number of stewards
	 * @param workspaces the number of declared workspaces
	 * @param propagationMs time until the change was active in every steward, in
	 * milliseconds; -1 if it was not
	 * @param messagesPerSecond messages per second and steward, without changes
	 * @param bytesPerSecond bytes per second and steward, without changes, with the
	 * overhead of TCP, IP and framing
	 * @param cpuPercent processor time per steward, in percent of a core
	 * @param messagesPerChange additional messages per steward for one change
	 * @param bytesPerChange additional bytes per steward for one change
	 * @param listBytes size of the encoded list of VMs
	 * @param configBytes size of the configuration's parts, in bytes
	 */
	public record Result(int size, int workspaces, long propagationMs, double messagesPerSecond, double bytesPerSecond,
			double cpuPercent, double messagesPerChange, double bytesPerChange, int listBytes, int configBytes) {
	}

	private record TrafficSample(long messages, long bytes, long cpuNs) {
	}

	private record ScheduledTask(long atMs, long order, Runnable action) {
	}

	/** A manifest with the contents of its parts, by digest. */
	private record Config(Manifest manifest, Map<String, byte[]> parts) {

		static Config of(Manifest previous, int workspaces, int change) {
			Map<String, StringBuilder> texts = new TreeMap<>();
			for (int i = 0; i < workspaces; i++) {
				String name = "workspace shop-" + i;
				int weight = (i == 0) ? 1 + change : 1;
				texts.computeIfAbsent(ManifestParts.partOf(name), (key) -> new StringBuilder())
					.append("[" + name + "]\nrequests-per-second = 20\nweight = " + weight + "\n\n");
			}
			Map<String, byte[]> parts = new HashMap<>();
			SortedMap<String, String> digests = new TreeMap<>();
			texts.forEach((name, text) -> {
				byte[] bytes = text.toString().getBytes(StandardCharsets.UTF_8);
				digests.put(name, Digest.of(bytes));
				parts.put(Digest.of(bytes), bytes);
			});
			Manifest next = previous.next(digests, "change-" + change, "ana", "digest", List.of("workspace shop-0"));
			return new Config(next, parts);
		}

		void offerTo(FleetState state) {
			state.offer(RegisterName.CONFIG, this.manifest.version(),
					this.manifest.encode().getBytes(StandardCharsets.UTF_8), "platform");
			for (String digest : state.missingBlobs()) {
				state.offerBlob(digest, this.parts.getOrDefault(digest, new byte[0]), "platform");
			}
		}

		int bytes() {
			return this.parts.values().stream().mapToInt((part) -> part.length).sum();
		}

	}

	/** A steward of the simulated fleet. */
	private final class SimulatedSteward {

		private final Vm vm;

		private final int lossPercent;

		private final FleetState state;

		private final Gossip gossip;

		SimulatedSteward(Vm vm, int lossPercent) {
			this.vm = vm;
			this.lossPercent = lossPercent;
			EventLog events = EventLog.create(vm.id(), 1, new HybridClock(), Clocks.SYSTEM);
			this.state = new FleetState(events, 1);
			PeerDirectory peers = new PeerDirectory(vm.id(), this.state,
					(address) -> new SimulatedConnection(this, address), List.of(), events);
			this.gossip = new Gossip(this.state, peers, (name, task) -> task.run(), () -> GossipSimulation.this.nowMs,
					new Random(vm.id().hashCode()), FANOUT);
		}

		void runHeartbeats() {
			this.gossip.round();
			schedule(HEARTBEAT_MS, this::runHeartbeats);
		}

		boolean losesMessage() {
			return GossipSimulation.this.random.nextInt(100) < this.lossPercent;
		}

		Envelope withHeader(Envelope.Builder message) {
			return message.setClock(1).setCorrelation(1).setSenderVm(this.vm.id()).setSenderIncarnation(1).build();
		}

		Envelope.Builder handle(Envelope message) {
			return switch (message.getBodyCase()) {
				case HEARTBEAT -> this.gossip.onHeartbeat(message);
				case PULL_REQUEST ->
					Envelope.newBuilder().setPullReply(this.gossip.onPullRequest(message.getPullRequest()));
				case BLOB_REQUEST ->
					Envelope.newBuilder().setBlobReply(this.gossip.onBlobRequest(message.getBlobRequest()));
				case LEAVING_NOTICE -> {
					this.gossip.onLeavingNotice(message.getLeavingNotice());
					yield Envelope.newBuilder();
				}
				default -> Envelope.newBuilder().setAck(Ack.getDefaultInstance());
			};
		}

	}

	/** A simulated connection from one steward to another. */
	private final class SimulatedConnection implements WireCaller {

		private final SimulatedSteward from;

		private final Address to;

		SimulatedConnection(SimulatedSteward from, Address to) {
			this.from = from;
			this.to = to;
		}

		@Override
		public CompletableFuture<Either<WireError, Envelope>> call(Envelope.Builder message, long timeoutMs) {
			CompletableFuture<Either<WireError, Envelope>> reply = new CompletableFuture<>();
			SimulatedSteward target = GossipSimulation.this.byAddress.get(this.to);
			Envelope received = transmit(this.from.withHeader(message));
			if (target == null || this.from.losesMessage()) {
				schedule(timeoutMs, () -> reply.complete(Either.left(WireError.TIMED_OUT)));
				return reply;
			}
			schedule(latencyMs(), () -> {
				Envelope response = transmit(target.withHeader(target.handle(received)));
				schedule(latencyMs(), () -> reply.complete(Either.right(response)));
			});
			return reply;
		}

		@Override
		public void send(Envelope.Builder message) {
			SimulatedSteward target = GossipSimulation.this.byAddress.get(this.to);
			Envelope received = transmit(this.from.withHeader(message));
			if (target != null && !this.from.losesMessage()) {
				schedule(latencyMs(), () -> target.handle(received));
			}
		}

		@Override
		public void close() {
			// Holds no resources.
		}

	}

}
