package org.tallycart.testbed;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import org.tallycart.core.ini.Address;
import org.tallycart.core.membership.Vm;
import org.tallycart.core.membership.VmList;
import org.tallycart.core.membership.VmState;
import org.tallycart.ctl.TallyctlMain;
import org.tallycart.standin.FaultProxy;

/**
 * A fleet of real processes on this machine: stand-ins, and for each VM a steward and an
 * entry.
 * <p>
 * Not thread-safe, but for {@link #entryAddresses()}.
 *
 * @since 0.1
 */
public final class LocalFleet implements AutoCloseable {

	private static final long START_MS = 60_000;

	private static final String PLATFORM = "platform";

	private final FleetDefinition shape;

	private final FleetDirectory directory;

	private final List<VmProcesses> vms = new ArrayList<>();

	private final Map<String, FaultProxy> proxies = new ConcurrentHashMap<>();

	private final Map<String, VmState> upstreamStates = new HashMap<>();

	private final List<String> jvmOptions = new ArrayList<>();

	private ManagedProcess standins;

	@SuppressWarnings("NullAway.Init")
	private LocalFleet(FleetDefinition shape, FleetDirectory directory) {
		this.shape = shape;
		this.directory = directory;
	}

	/**
	 * Start a fleet and wait until it is ready.
	 * @param shape what it is made of
	 * @return the fleet
	 * @throws IOException if it cannot be started
	 */
	public static LocalFleet start(FleetDefinition shape) throws IOException {
		return start(shape, Map.of());
	}

	/**
	 * Start a fleet with settings of its own and wait until it is ready.
	 * @param shape what it is made of
	 * @param settings extra settings, by {@code program.section.key}
	 * @return the fleet
	 * @throws IOException if it cannot be started
	 */
	public static LocalFleet start(FleetDefinition shape, Map<String, String> settings) throws IOException {
		return start(shape, settings, List.of("-XX:TieredStopAtLevel=1"));
	}

	/**
	 * Start a fleet with settings and JVM options of its own and wait until it is ready.
	 * @param shape what it is made of
	 * @param settings extra settings, by {@code program.section.key}
	 * @param jvmOptions options of every process's JVM
	 * @return the fleet
	 * @throws IOException if it cannot be started
	 */
	public static LocalFleet start(FleetDefinition shape, Map<String, String> settings, List<String> jvmOptions)
			throws IOException {
		LocalFleet fleet = new LocalFleet(shape, FleetDirectory.create(shape.name(), settings));
		fleet.jvmOptions.addAll(jvmOptions);
		try {
			fleet.startAll();
			return fleet;
		}
		catch (IOException | RuntimeException ex) {
			fleet.close();
			throw ex;
		}
	}

	private void startAll() throws IOException {
		this.standins = ManagedProcess.start("org.tallycart.standin.StandinMain",
				this.directory.write("standin.ini", standinSettings()), this.directory.log("standin"), jvm("-Xmx768m"));
		for (int i = 0; i < this.shape.vms(); i++) {
			this.vms.add(new VmProcesses("vm-" + (i + 1), this.shape.domain(i)));
		}
		together(this::startSteward);
		publishVms();
		together(this::startEntry);
		applyDeclarations(declarations());
		Await.until("every entry is ready", START_MS, () -> this.vms.stream().allMatch(LocalFleet::ready));
		this.vms.forEach((vm) -> vm.inBalancer = true);
		Await.until("every slot has settled", START_MS, this::slotsSettled);
	}

	private void together(ProcessStarter start) throws IOException {
		List<IOException> failures = new CopyOnWriteArrayList<>();
		this.vms.parallelStream().forEach((vm) -> {
			try {
				start.start(vm);
			}
			catch (IOException ex) {
				failures.add(ex);
			}
		});
		if (!failures.isEmpty()) {
			throw failures.get(0);
		}
	}

	private boolean slotsSettled() {
		int open = 0;
		for (VmProcesses vm : this.vms) {
			int own = ProcessHttp.get(vm.steward.address("status"), "/status").path("open_slots").asInt();
			if (own == 0) {
				return false;
			}
			open += own;
		}
		return open == 64;
	}

	private String standinSettings() {
		StringBuilder text = new StringBuilder("[platform " + PLATFORM + "]\n\n");
		for (ServiceDefinition service : this.shape.services()) {
			for (int i = 1; i <= service.workers(); i++) {
				text.append("[upstream ").append(service.id()).append('-').append(i).append("]\n");
				text.append("kind = ").append(service.kind()).append('\n');
				text.append("slots = ").append(service.slots()).append('\n');
				text.append("base-ms = ").append(service.baseMs()).append('\n');
				text.append("token-ms = ").append(service.tokenMs()).append('\n');
				text.append("seed = ").append(i).append("\n\n");
			}
		}
		return text.toString();
	}

	/**
	 * Return the declarations of the fleet.
	 * @return the text, in INI
	 */
	public String declarations() {
		StringBuilder text = new StringBuilder(this.shape.declarations());
		for (ServiceDefinition service : this.shape.services()) {
			text.append("\n[service ").append(service.id()).append("]\n");
			text.append("kind = ").append(service.kind()).append('\n');
			text.append("cost-per-call = ").append(service.costPerCall()).append('\n');
			text.append("cost-per-token = ").append(service.costPerToken()).append('\n');
			List<String> upstreams = new ArrayList<>();
			for (int i = 1; i <= service.workers(); i++) {
				String id = service.id() + "-" + i;
				upstreams.add(id + " " + upstreamAddress(id) + " " + this.shape.domain(i - 1) + " " + service.slots());
			}
			text.append("upstreams = ").append(String.join(", ", upstreams)).append('\n');
		}
		return text.toString();
	}

	private Address upstreamAddress(String id) {
		Address direct = this.standins.address(id);
		return this.shape.upstreamProxies() ? proxy(id, direct).address() : direct;
	}

	private FaultProxy proxy(String name, Address target) {
		return this.proxies.computeIfAbsent(name, (key) -> {
			try {
				return FaultProxy.start(target);
			}
			catch (IOException ex) {
				throw new IllegalStateException("no proxy can be started", ex);
			}
		});
	}

	/**
	 * Return the proxy before an upstream, or between a VM's steward and the platform.
	 * @param name the upstream, or {@code platform-} and the VM
	 * @return the proxy
	 */
	public FaultProxy proxy(String name) {
		FaultProxy proxy = this.proxies.get(name);
		if (proxy == null) {
			throw new IllegalArgumentException("no proxy " + name);
		}
		return proxy;
	}

	private List<String> jvm(String heap) {
		List<String> options = new ArrayList<>(this.jvmOptions);
		options.add(heap);
		return options;
	}

	private void startSteward(VmProcesses vm) throws IOException {
		Address platform = this.standins.address(PLATFORM);
		if (this.shape.platformProxies()) {
			platform = proxy("platform-" + vm.id, platform).address();
		}
		String seeds = this.vms.stream()
			.filter((other) -> other != vm && other.steward != null)
			.map((other) -> other.steward.address("peer").toString())
			.collect(Collectors.joining(", "));
		Map<String, Map<String, String>> ini = new LinkedHashMap<>();
		ini.put("vm", Map.of("id", vm.id, "domain", vm.domain));
		ini.put("peer",
				new LinkedHashMap<>(Map.of("listen", "127.0.0.1:" + vm.peerPort, "heartbeat-interval", "250ms")));
		if (!seeds.isEmpty()) {
			section(ini, "peer").put("seeds", seeds);
		}
		ini.put("status", new LinkedHashMap<>(Map.of("listen", "127.0.0.1:" + vm.stewardStatusPort)));
		ini.put("platform", new LinkedHashMap<>(
				Map.of("address", platform.toString(), "poll-interval", "500ms", "timeout", "1s", "watch-wait", "3s")));
		vm.steward = ManagedProcess.start("org.tallycart.steward.StewardMain",
				this.directory.settings("steward", vm.id, ini), this.directory.log("steward-" + vm.id), jvm("-Xmx40m"));
		vm.peerPort = vm.steward.address("peer").port();
		vm.stewardStatusPort = vm.steward.address("status").port();
	}

	private static Map<String, String> section(Map<String, Map<String, String>> ini, String name) {
		return ini.computeIfAbsent(name, (key) -> new LinkedHashMap<>());
	}

	private void startEntry(VmProcesses vm) throws IOException {
		Map<String, Map<String, String>> ini = new LinkedHashMap<>();
		ini.put("vm", Map.of("id", vm.id, "domain", vm.domain));
		ini.put("callers", new LinkedHashMap<>(Map.of("listen", "127.0.0.1:" + vm.callersPort)));
		ini.put("status", new LinkedHashMap<>(Map.of("listen", "127.0.0.1:" + vm.entryStatusPort)));
		ini.put("steward", new LinkedHashMap<>(Map.of("address", vm.steward.address("peer").toString())));
		ini.put("drain", new LinkedHashMap<>(Map.of("lead", "500ms", "timeout", "30s")));
		vm.entry = ManagedProcess.start("org.tallycart.entry.EntryMain", this.directory.settings("entry", vm.id, ini),
				this.directory.log("entry-" + vm.id), jvm("-Xmx256m"));
		vm.callersPort = vm.entry.address("callers").port();
		vm.entryStatusPort = vm.entry.address("status").port();
	}

	/**
	 * Tell the platform's stand-in which VMs there are.
	 */
	public void publishVms() {
		List<Vm> list = new ArrayList<>();
		for (VmProcesses vm : this.vms) {
			if (vm.listed) {
				list.add(new Vm(vm.id, Vm.ROLE_ENTRY, vm.domain, vm.steward.address("peer"), VmState.LIVE));
			}
		}
		for (ServiceDefinition service : this.shape.services()) {
			for (int i = 1; i <= service.workers(); i++) {
				String id = service.id() + "-" + i;
				list.add(new Vm(id, Vm.ROLE_UPSTREAM, this.shape.domain(i - 1), this.standins.address(id),
						this.upstreamStates.getOrDefault(id, VmState.LIVE)));
			}
		}
		ProcessHttp.post(this.standins.address(PLATFORM), "/admin/vms", new VmList(0, list).encode());
	}

	/**
	 * Apply declarations, as an operator would.
	 * @param text the declarations, in INI
	 * @return the exit code
	 * @throws IOException if the file cannot be written
	 */
	public int applyDeclarations(String text) throws IOException {
		Path declared = Files.createDirectories(this.directory.path().resolve("declarations"));
		Files.writeString(declared.resolve("all.ini"), text);
		return TallyctlMain.execute("apply", "--platform", platformAddress().toString(), "--author", "testbed",
				"--quiet", declared.toString());
	}

	/**
	 * Return the platform's stand-in.
	 * @return its address
	 */
	public Address platformAddress() {
		return this.standins.address(PLATFORM);
	}

	/**
	 * Return where a balancer would send requests now.
	 * @return addresses of the entries that are not known to be down or draining
	 */
	public List<Address> entryAddresses() {
		return this.vms.stream().filter((vm) -> vm.inBalancer).map((vm) -> vm.entry.address("callers")).toList();
	}

	/**
	 * Return the status ports of all stewards and entries.
	 * @return the addresses, as {@code tallyctl --fleet} takes them
	 */
	public String statusAddresses() {
		return this.vms.stream()
			.map((vm) -> vm.steward.address("status") + "," + vm.entry.address("status"))
			.collect(Collectors.joining(","));
	}

	/**
	 * Return the processes of a VM.
	 * @param number the VM, from 0
	 * @return its processes
	 */
	public VmProcesses vm(int number) {
		return this.vms.get(number);
	}

	/**
	 * Return how many VMs there are.
	 * @return the number
	 */
	public int size() {
		return this.vms.size();
	}

	/**
	 * Start a VM's entry again, on the same ports, and put it into the balancer when it
	 * is ready.
	 * @param number the VM, from 0
	 * @throws IOException if it cannot be started
	 */
	public void restartEntry(int number) throws IOException {
		VmProcesses vm = this.vms.get(number);
		startEntry(vm);
		Await.until(vm.id + " is ready", START_MS, () -> ready(vm));
		vm.inBalancer = true;
	}

	private static boolean ready(VmProcesses vm) {
		return ProcessHttp.get(vm.entry.address("status"), "/readyz").path("ready").asBoolean();
	}

	/**
	 * Start a VM's steward again, on the same ports.
	 * @param number the VM, from 0
	 * @throws IOException if it cannot be started
	 */
	public void restartSteward(int number) throws IOException {
		startSteward(this.vms.get(number));
	}

	/**
	 * Set a fault of the platform's stand-in.
	 * @param json the fault
	 */
	public void setPlatformFault(String json) {
		ProcessHttp.post(platformAddress(), "/admin/fault", json);
	}

	/**
	 * Set a fault of upstreams.
	 * @param which which of them, by id
	 * @param json the fault
	 */
	public void setUpstreamFault(Predicate<String> which, String json) {
		upstreamIds().stream()
			.filter(which)
			.forEach((id) -> ProcessHttp.post(this.standins.address(id), "/admin/fault", json));
	}

	/**
	 * Mark an upstream's VM as leaving, or live, in the platform's list.
	 * @param id the upstream
	 * @param state its state
	 */
	public void setUpstreamState(String id, VmState state) {
		this.upstreamStates.put(id, state);
		publishVms();
	}

	/**
	 * Return all upstreams.
	 * @return their ids
	 */
	public List<String> upstreamIds() {
		List<String> ids = new ArrayList<>();
		for (ServiceDefinition service : this.shape.services()) {
			for (int i = 1; i <= service.workers(); i++) {
				ids.add(service.id() + "-" + i);
			}
		}
		return ids;
	}

	/**
	 * Return what an upstream has run.
	 * @param id the upstream
	 * @return its counts
	 */
	public JsonNode runCounts(String id) {
		return ProcessHttp.get(this.standins.address(id), "/admin/runs");
	}

	/**
	 * Count the runs of each caller's request over all plain services.
	 * @return runs by the request's marker
	 */
	public Map<String, Integer> runsByMarker() {
		Map<String, Integer> runs = new HashMap<>();
		for (String id : upstreamIds()) {
			runCounts(id).path("markers")
				.properties()
				.forEach((entry) -> runs.merge(entry.getKey(), entry.getValue().asInt(), Integer::sum));
		}
		return runs;
	}

	/**
	 * Return where logs and settings of this fleet are.
	 * @return the directory
	 */
	public Path directory() {
		return this.directory.path();
	}

	@Override
	public void close() {
		for (VmProcesses vm : this.vms) {
			if (vm.entry != null) {
				vm.entry.kill();
			}
			if (vm.steward != null) {
				vm.steward.kill();
			}
		}
		if (this.standins != null) {
			this.standins.kill();
		}
		this.proxies.values().forEach(FaultProxy::close);
	}

	/** Starts one process of a VM. */
	@FunctionalInterface
	private interface ProcessStarter {

		void start(VmProcesses vm) throws IOException;

	}

}
