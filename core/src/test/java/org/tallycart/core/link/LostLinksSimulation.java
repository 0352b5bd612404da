package org.tallycart.core.link;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import org.tallycart.core.ini.Address;
import org.tallycart.core.serving.UpstreamEntry;

/**
 * Simulation of VMs that send requests to upstreams, some of which lose their links to
 * all upstreams, in virtual time: the production monitors and selectors, and simulated
 * connections. Every request needs a new connection. Uses no network, threads or clock.
 * <p>
 * Not thread-safe: belongs to one test.
 */
final class LostLinksSimulation {

	static final long STEP_MS = 50;

	private static final int UPSTREAMS = 24;

	private static final int DOMAINS = 4;

	/** Time after which an unanswered connection fails, in steps. */
	private static final int CONNECT_TIMEOUT_STEPS = 6;

	/** Requests per VM and second. */
	private static final int REQUESTS_PER_S = 10;

	final List<Vm> vms;

	private final Map<String, Vm> byName = new HashMap<>();

	private final List<UpstreamEntry> upstreams;

	private final Random random;

	private final List<List<Runnable>> later = new ArrayList<>();

	private int step;

	LostLinksSimulation(int count, long seed) {
		this.random = new Random(seed);
		this.vms = IntStream.range(0, count).mapToObj((i) -> new Vm("vm-" + i)).toList();
		this.vms.forEach((vm) -> this.byName.put(vm.name, vm));
		this.upstreams = IntStream.range(0, UPSTREAMS)
			.mapToObj((i) -> UpstreamEntry.builder("i-" + i, "service" + i % 3)
				.location(new Address("10.0.0." + i, 80), "d" + i % DOMAINS)
				.build())
			.toList();
		for (int i = 0; i <= CONNECT_TIMEOUT_STEPS; i++) {
			this.later.add(new ArrayList<>());
		}
	}

	private long nowMs() {
		return this.step * STEP_MS;
	}

	private void after(int steps, Runnable task) {
		this.later.get((this.step + steps) % this.later.size()).add(task);
	}

	void run(long ms) {
		for (long end = nowMs() + ms; nowMs() < end; this.step++) {
			List<Runnable> due = this.later.set(this.step % this.later.size(), new ArrayList<>());
			due.forEach(Runnable::run);
			this.vms.forEach(Vm::step);
		}
	}

	Count count(boolean cut) {
		Count total = new Count();
		this.vms.stream().filter((vm) -> (vm.cut != Cut.NONE) == cut).forEach((vm) -> {
			total.sent += vm.requests.sent;
			total.served += vm.requests.served;
		});
		return total;
	}

	void resetCounts() {
		this.vms.forEach((vm) -> {
			vm.requests = new Count();
			vm.relayed = 0;
			vm.probes = 0;
		});
	}

	/** State of a VM's links to the upstreams. */
	enum Cut {

		/** All upstreams accept connections. */
		NONE,
		/** Connections are refused. */
		REFUSED,
		/** Connections are not answered. */
		SILENT

	}

	/** Number of requests. */
	static final class Count {

		int sent;

		int served;

		double share() {
			return (double) this.served / this.sent;
		}

	}

	/** A simulated VM. */
	final class Vm {

		final String name;

		Cut cut = Cut.NONE;

		Count requests = new Count();

		int relayed;

		int probes;

		private final UpstreamLinkMonitor monitor = new UpstreamLinkMonitor();

		private final RelaySelector selector;

		private final Map<String, Integer> calls = new HashMap<>();

		private Set<Address> down = new HashSet<>();

		Vm(String name) {
			this.name = name;
			this.selector = new RelaySelector(name);
		}

		void upstreamsDown(int count) {
			this.down = new HashSet<>(
					LostLinksSimulation.this.upstreams.subList(0, count).stream().map(UpstreamEntry::address).toList());
		}

		private void step() {
			update();
			if (LostLinksSimulation.this.random.nextInt((int) (1_000 / STEP_MS)) < REQUESTS_PER_S) {
				request();
			}
		}

		private void update() {
			for (Address address : this.monitor.update(LostLinksSimulation.this.upstreams, nowMs())) {
				this.probes++;
				connect(address, () -> {
				}, () -> {
				});
			}
			this.selector.detectSilent(nowMs());
			if (this.monitor.state() != UpstreamLinkMonitor.State.CONNECTED) {
				this.selector.dueOffers(LostLinksSimulation.this.byName.keySet(), nowMs())
					.forEach((other) -> after(1, () -> {
						boolean accepts = LostLinksSimulation.this.byName.get(other).accepts();
						after(1, () -> this.selector.onAnswer(other, accepts, nowMs()));
					}));
			}
		}

		private boolean accepts() {
			return this.monitor.state() == UpstreamLinkMonitor.State.CONNECTED;
		}

		private void connect(Address address, Runnable onConnected, Runnable onFailed) {
			boolean refused = this.cut == Cut.REFUSED || this.down.contains(address);
			if (this.cut == Cut.NONE && !refused) {
				this.monitor.onConnected();
				onConnected.run();
				return;
			}
			after((this.cut == Cut.SILENT) ? CONNECT_TIMEOUT_STEPS : 1, () -> {
				this.monitor.onConnectFailed(address);
				update();
				onFailed.run();
			});
		}

		private void request() {
			this.requests.sent++;
			Count counted = this.requests;
			List<UpstreamEntry> all = LostLinksSimulation.this.upstreams;
			Address address = all.get(LostLinksSimulation.this.random.nextInt(all.size())).address();
			if (!this.monitor.isIsolated()) {
				connect(address, () -> counted.served++, () -> {
				});
				return;
			}
			Optional<String> relay = this.selector.select((other) -> this.calls.getOrDefault(other, 0));
			if (relay.isEmpty()) {
				return;
			}
			this.calls.merge(relay.get(), 1, Integer::sum);
			Vm other = LostLinksSimulation.this.byName.get(relay.get());
			after(1, () -> {
				this.calls.merge(relay.get(), -1, Integer::sum);
				if (other.accepts()) {
					other.relayed++;
					other.connect(address, () -> counted.served++, () -> {
					});
				}
				else {
					this.selector.onAnswer(other.name, false, nowMs());
				}
			});
		}

	}

}
