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
 * Measures how stewards spread state: many of them in one process, with the production
 * code for membership, registers and gossip, and a network of queues in virtual time.
 * Messages are really encoded, so their bytes and processor time are those of production
 * but for the kernel's.
 * <p>
 * Not thread-safe.
 *
 * @since 0.1
 */
public final class GossipSimulation {

	private static final int DOMAINS = 11;

	private static final long HEARTBEAT_MS = 1_000;

	private static final int FANOUT = 3;

	private static final long LATENCY_MS = 2;

	private static final long SETTLE_MS = 15_000;

	private static final long IDLE_MS = 10_000;

	private static final long CHANGE_MS = 11_000;

	private static final int HEADER_BYTES = 44;

	private static final int PORTS_PER_HOST = 1_000;

	private final Random random;

	private final List<SimulatedSteward> members = new ArrayList<>();

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
	 * Measure a fleet of a size.
	 * @param size how many stewards
	 * @param workspaces how many workspaces the configuration declares
	 * @param lossPercent messages lost
	 * @return what was measured
	 */
	public static Result measure(int size, int workspaces, int lossPercent) {
		return new GossipSimulation(size).run(size, workspaces, lossPercent);
	}

	private Result run(int size, int workspaces, int lossPercent) {
		VmList list = list(size);
		for (Vm vm : list.vms()) {
			SimulatedSteward member = new SimulatedSteward(vm, lossPercent);
			this.members.add(member);
			this.byAddress.put(vm.address(), member);
		}
		byte[] listBytes = list.encode().getBytes(StandardCharsets.UTF_8);
		Config first = Config.of(Manifest.EMPTY, workspaces, 0);
		for (SimulatedSteward member : this.members) {
			member.state.offer(RegisterName.VMS, 1, listBytes, "start");
			first.offerTo(member.state);
			schedule(this.random.nextInt((int) HEARTBEAT_MS), member::beat);
		}
		runUntil(SETTLE_MS);
		TrafficSample idle = phase(IDLE_MS);
		Config second = Config.of(first.manifest, workspaces, 1);
		long changedMs = this.nowMs;
		for (SimulatedSteward member : this.members) {
			if (WatcherSelection.isWatcher(member.vm.id(), member.vm.domain(), list)) {
				schedule(this.random.nextInt((int) LATENCY_MS + 1), () -> {
					second.offerTo(member.state);
					member.gossip.round();
				});
			}
		}
		long untilMs = this.nowMs + CHANGE_MS;
		long messagesBefore = this.messages;
		long bytesBefore = this.bytes;
		while (this.nowMs < untilMs && behind(2) > 0) {
			runUntil(this.nowMs + LATENCY_MS);
		}
		long propagationMs = (behind(2) == 0) ? this.nowMs - changedMs : -1;
		runUntil(untilMs);
		double idleBytes = idle.bytes * (double) CHANGE_MS / IDLE_MS;
		double idleMessages = idle.messages * (double) CHANGE_MS / IDLE_MS;
		return new Result(size, workspaces, propagationMs, perVmSecond(idle.messages, IDLE_MS),
				perVmSecond(idle.bytes, IDLE_MS), 100.0 * idle.cpuNs / 1_000_000 / IDLE_MS / size,
				(this.messages - messagesBefore - idleMessages) / size, (this.bytes - bytesBefore - idleBytes) / size,
				listBytes.length, first.bytes());
	}

	private double perVmSecond(long count, long millis) {
		return count * 1_000.0 / millis / this.members.size();
	}

	private TrafficSample phase(long millis) {
		long messagesBefore = this.messages;
		long bytesBefore = this.bytes;
		long cpuBefore = cpuNs();
		runUntil(this.nowMs + millis);
		return new TrafficSample(this.messages - messagesBefore, this.bytes - bytesBefore, cpuNs() - cpuBefore);
	}

	private static long cpuNs() {
		return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
	}

	private long behind(long version) {
		return this.members.stream().filter((member) -> member.state.manifest().version() < version).count();
	}

	private static VmList list(int size) {
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

	private Envelope carry(Envelope message) {
		this.messages++;
		byte[] encoded = message.toByteArray();
		this.bytes += encoded.length + HEADER_BYTES;
		try {
			return Envelope.parseFrom(encoded);
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalStateException("a message that was just encoded can be read", ex);
		}
	}

	private long latencyMs() {
		return 1 + this.random.nextInt((int) LATENCY_MS);
	}

	/**
	 * What was measured.
	 *
	 * @param size how many stewards
	 * @param workspaces how many workspaces were declared
	 * @param propagationMs time until a change was in force in every steward; -1 if it
	 * was not
	 * @param messagesPerSecond messages a second for each steward, while nothing changes
	 * @param bytesPerSecond their bytes, with 44 of TCP, IP and framing for each
	 * @param cpuPercent processor time for each steward, in percent of a core
	 * @param messagesPerChange messages for each steward that a change adds
	 * @param bytesPerChange their bytes
	 * @param listBytes size of the list of VMs
	 * @param configBytes size of the configuration
	 */
	public record Result(int size, int workspaces, long propagationMs, double messagesPerSecond, double bytesPerSecond,
			double cpuPercent, double messagesPerChange, double bytesPerChange, int listBytes, int configBytes) {
	}

	private record TrafficSample(long messages, long bytes, long cpuNs) {
	}

	private record ScheduledTask(long atMs, long order, Runnable action) {
	}

	/** A configuration with its parts. */
	private record Config(Manifest manifest, Map<String, byte[]> parts) {

		static Config of(Manifest before, int workspaces, int change) {
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
			Manifest next = before.next(digests, "change-" + change, "ana", "digest", List.of("workspace shop-0"));
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

	/** One steward. */
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

		void beat() {
			this.gossip.round();
			schedule(HEARTBEAT_MS, this::beat);
		}

		boolean loses() {
			return GossipSimulation.this.random.nextInt(100) < this.lossPercent;
		}

		Envelope stamped(Envelope.Builder message) {
			return message.setClock(1).setCorrelation(1).setSenderVm(this.vm.id()).setSenderIncarnation(1).build();
		}

		Envelope.Builder handle(Envelope message) {
			return switch (message.getBodyCase()) {
				case HEARTBEAT -> this.gossip.onHeartbeat(message);
				case PULL_REQUEST -> Envelope.newBuilder().setPullReply(this.gossip.onPull(message.getPullRequest()));
				case BLOB_REQUEST ->
					Envelope.newBuilder().setBlobReply(this.gossip.onBlobRequest(message.getBlobRequest()));
				case LEAVING_NOTICE -> {
					this.gossip.onLeaving(message.getLeavingNotice());
					yield Envelope.newBuilder();
				}
				default -> Envelope.newBuilder().setAck(Ack.getDefaultInstance());
			};
		}

	}

	/** A connection from one steward to another. */
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
			Envelope carried = carry(this.from.stamped(message));
			if (target == null || this.from.loses()) {
				schedule(timeoutMs, () -> reply.complete(Either.left(WireError.TIMED_OUT)));
				return reply;
			}
			schedule(latencyMs(), () -> {
				Envelope answer = carry(target.stamped(target.handle(carried)));
				schedule(latencyMs(), () -> reply.complete(Either.right(answer)));
			});
			return reply;
		}

		@Override
		public void send(Envelope.Builder message) {
			SimulatedSteward target = GossipSimulation.this.byAddress.get(this.to);
			Envelope carried = carry(this.from.stamped(message));
			if (target != null && !this.from.loses()) {
				schedule(latencyMs(), () -> target.handle(carried));
			}
		}

		@Override
		public void close() {
			// Nothing is held open.
		}

	}

}
