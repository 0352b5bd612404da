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
 * Fleet of real processes on this machine: the stand-ins in one process, and a steward
 * and an entry for each VM.
 * <p>
 * Not thread-safe, except for {@link #entryAddresses()}.
 *
 * @since 0.1
 */
public final class LocalFleet implements AutoCloseable {

	private static final long START_TIMEOUT_MS = 60_000;

	private static final String PLATFORM = "platform";

	private final FleetDefinition definition;

	private final FleetDirectory directory;

	private final List<VmProcesses> vms = new ArrayList<>();

	private final Map<String, FaultProxy> proxies = new ConcurrentHashMap<>();

	private final Map<String, VmState> upstreamStates = new HashMap<>();

	private final List<String> jvmOptions = new ArrayList<>();

	private ManagedProcess standins;

	@SuppressWarnings("NullAway.Init")
	private LocalFleet(FleetDefinition definition, FleetDirectory directory) {
		this.definition = definition;
		this.directory = directory;
	}

	/**
	 * Start a fleet and wait until it is ready.
	 * @param definition the fleet's definition
	 * @return the fleet
	 * @throws IOException if the fleet cannot be started
	 */
	public static LocalFleet start(FleetDefinition definition) throws IOException {
		return start(definition, Map.of());
	}

	/**
	 * Start a fleet with additional settings and wait until it is ready.
	 * @param definition the fleet's definition
	 * @param settings additional settings by {@code program.section.key}
	 * @return the fleet
	 * @throws IOException if the fleet cannot be started
	 */
	public static LocalFleet start(FleetDefinition definition, Map<String, String> settings) throws IOException {
		return start(definition, settings, List.of("-XX:TieredStopAtLevel=1"));
	}

	/**
	 * Start a fleet with additional settings and JVM options and wait until it is ready.
	 * @param definition the fleet's definition
	 * @param settings additional settings by {@code program.section.key}
	 * @param jvmOptions options of the JVMs of all processes
	 * @return the fleet
	 * @throws IOException if the fleet cannot be started
	 */
	public static LocalFleet start(FleetDefinition definition, Map<String, String> settings, List<String> jvmOptions)
			throws IOException {
		LocalFleet fleet = new LocalFleet(definition, FleetDirectory.create(definition.name(), settings));
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
				this.directory.write("standin.ini", standinSettings()), this.directory.log("standin"),
				jvmOptionsWith("-Xmx768m"));
		for (int i = 0; i < this.definition.vms(); i++) {
			this.vms.add(new VmProcesses("vm-" + (i + 1), this.definition.domain(i)));
		}
		startInParallel(this::startSteward);
		publishVms();
		startInParallel(this::startEntry);
		applyDeclarations(declarations());
		Await.until("all entries are ready", START_TIMEOUT_MS, () -> this.vms.stream().allMatch(LocalFleet::isReady));
		this.vms.forEach((vm) -> vm.inBalancer = true);
		Await.until("all slots are open", START_TIMEOUT_MS, this::allSlotsOpen);
	}

	private void startInParallel(ProcessStarter starter) throws IOException {
		List<IOException> failures = new CopyOnWriteArrayList<>();
		this.vms.parallelStream().forEach((vm) -> {
			try {
				starter.start(vm);
			}
			catch (IOException ex) {
				failures.add(ex);
			}
		});
		if (!failures.isEmpty()) {
			throw failures.get(0);
		}
	}

	private boolean allSlotsOpen() {
		int openSlots = 0;
		for (VmProcesses vm : this.vms) {
			int own = ProcessHttp.get(vm.steward.address("status"), "/status").path("open_slots").asInt();
			if (own == 0) {
				return false;
			}
			openSlots += own;
		}
		return openSlots == 64;
	}

	private String standinSettings() {
		StringBuilder text = new StringBuilder("[platform " + PLATFORM + "]\n\n");
		for (ServiceDefinition service : this.definition.services()) {
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
	 * Return the declarations of the fleet, with those of its services.
	 * @return the declarations in INI
	 */
	public String declarations() {
		StringBuilder text = new StringBuilder(this.definition.declarations());
		for (ServiceDefinition service : this.definition.services()) {
			text.append("\n[service ").append(service.id()).append("]\n");
			text.append("kind = ").append(service.kind()).append('\n');
			text.append("cost-per-call = ").append(service.costPerCall()).append('\n');
			text.append("cost-per-token = ").append(service.costPerToken()).append('\n');
			List<String> upstreams = new ArrayList<>();
			for (int i = 1; i <= service.workers(); i++) {
				String id = service.id() + "-" + i;
				upstreams
					.add(id + " " + upstreamAddress(id) + " " + this.definition.domain(i - 1) + " " + service.slots());
			}
			text.append("upstreams = ").append(String.join(", ", upstreams)).append('\n');
		}
		return text.toString();
	}

	private Address upstreamAddress(String id) {
		Address direct = this.standins.address(id);
		return this.definition.upstreamProxies() ? proxy(id, direct).address() : direct;
	}

	private FaultProxy proxy(String name, Address target) {
		return this.proxies.computeIfAbsent(name, (key) -> {
			try {
				return FaultProxy.start(target);
			}
			catch (IOException ex) {
				throw new IllegalStateException("cannot start a proxy", ex);
			}
		});
	}

	/**
	 * Return the proxy in front of an upstream, or between a VM's steward and the
	 * platform.
	 * @param name the upstream's id, or {@code platform-} and the VM's id
	 * @return the proxy
	 * @throws IllegalArgumentException if there is no such proxy
	 */
	public FaultProxy proxy(String name) {
		FaultProxy proxy = this.proxies.get(name);
		if (proxy == null) {
			throw new IllegalArgumentException("unknown proxy " + name);
		}
		return proxy;
	}

	private List<String> jvmOptionsWith(String heapOption) {
		List<String> options = new ArrayList<>(this.jvmOptions);
		options.add(heapOption);
		return options;
	}

	private void startSteward(VmProcesses vm) throws IOException {
		Address platform = this.standins.address(PLATFORM);
		if (this.definition.platformProxies()) {
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
				this.directory.writeSettings("steward", vm.id, ini), this.directory.log("steward-" + vm.id),
				jvmOptionsWith("-Xmx40m"));
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
		vm.entry = ManagedProcess.start("org.tallycart.entry.EntryMain",
				this.directory.writeSettings("entry", vm.id, ini), this.directory.log("entry-" + vm.id),
				jvmOptionsWith("-Xmx256m"));
		vm.callersPort = vm.entry.address("callers").port();
		vm.entryStatusPort = vm.entry.address("status").port();
	}

	/**
	 * Publish the listed VMs and all upstreams as the VM list of the platform stand-in.
	 */
	public void publishVms() {
		List<Vm> list = new ArrayList<>();
		for (VmProcesses vm : this.vms) {
			if (vm.listed) {
				list.add(new Vm(vm.id, Vm.ROLE_ENTRY, vm.domain, vm.steward.address("peer"), VmState.LIVE));
			}
		}
		for (ServiceDefinition service : this.definition.services()) {
			for (int i = 1; i <= service.workers(); i++) {
				String id = service.id() + "-" + i;
				list.add(new Vm(id, Vm.ROLE_UPSTREAM, this.definition.domain(i - 1), this.standins.address(id),
						this.upstreamStates.getOrDefault(id, VmState.LIVE)));
			}
		}
		ProcessHttp.post(this.standins.address(PLATFORM), "/admin/vms", new VmList(0, list).encode());
	}

	/**
	 * Apply declarations with {@code tallyctl apply}.
	 * @param text the declarations in INI
	 * @return the exit code of the command
	 * @throws IOException if the file cannot be written
	 */
	public int applyDeclarations(String text) throws IOException {
		Path declared = Files.createDirectories(this.directory.path().resolve("declarations"));
		Files.writeString(declared.resolve("all.ini"), text);
		return TallyctlMain.execute("apply", "--platform", platformAddress().toString(), "--author", "testbed",
				"--quiet", declared.toString());
	}

	/**
	 * Return the address of the platform stand-in.
	 * @return the address
	 */
	public Address platformAddress() {
		return this.standins.address(PLATFORM);
	}

	/**
	 * Return the addresses of the entries that are in the balancer.
	 * @return the callers' addresses
	 */
	public List<Address> entryAddresses() {
		return this.vms.stream().filter((vm) -> vm.inBalancer).map((vm) -> vm.entry.address("callers")).toList();
	}

	/**
	 * Return the status addresses of all stewards and entries.
	 * @return the addresses, comma-separated, as {@code tallyctl --fleet} takes them
	 */
	public String statusAddresses() {
		return this.vms.stream()
			.map((vm) -> vm.steward.address("status") + "," + vm.entry.address("status"))
			.collect(Collectors.joining(","));
	}

	/**
	 * Return the processes of a VM.
	 * @param number index of the VM, from 0
	 * @return the processes
	 */
	public VmProcesses vm(int number) {
		return this.vms.get(number);
	}

	/**
	 * Return the number of VMs.
	 * @return the number
	 */
	public int size() {
		return this.vms.size();
	}

	/**
	 * Start a VM's entry again on the same ports, and add it to the balancer when it is
	 * ready. Its process must have exited.
	 * @param number index of the VM, from 0
	 * @throws IOException if the entry cannot be started
	 */
	public void restartEntry(int number) throws IOException {
		VmProcesses vm = this.vms.get(number);
		startEntry(vm);
		Await.until(vm.id + " has a ready entry", START_TIMEOUT_MS, () -> isReady(vm));
		vm.inBalancer = true;
	}

	private static boolean isReady(VmProcesses vm) {
		return ProcessHttp.get(vm.entry.address("status"), "/readyz").path("ready").asBoolean();
	}

	/**
	 * Start a VM's steward again on the same ports. Its process must have exited.
	 * @param number index of the VM, from 0
	 * @throws IOException if the steward cannot be started
	 */
	public void restartSteward(int number) throws IOException {
		startSteward(this.vms.get(number));
	}

	/**
	 * Set faults of the platform stand-in.
	 * @param json the faults, as {@code /admin/fault} takes them
	 */
	public void setPlatformFault(String json) {
		ProcessHttp.post(platformAddress(), "/admin/fault", json);
	}

	/**
	 * Set faults of upstreams.
	 * @param filter selects the upstreams by id
	 * @param json the faults, as {@code /admin/fault} takes them
	 */
	public void setUpstreamFault(Predicate<String> filter, String json) {
		upstreamIds().stream()
			.filter(filter)
			.forEach((id) -> ProcessHttp.post(this.standins.address(id), "/admin/fault", json));
	}

	/**
	 * Set the state of an upstream in the platform's VM list and publish the list.
	 * @param id the upstream's id
	 * @param state the state
	 */
	public void setUpstreamState(String id, VmState state) {
		this.upstreamStates.put(id, state);
		publishVms();
	}

	/**
	 * Return the ids of all upstreams.
	 * @return the ids
	 */
	public List<String> upstreamIds() {
		List<String> ids = new ArrayList<>();
		for (ServiceDefinition service : this.definition.services()) {
			for (int i = 1; i <= service.workers(); i++) {
				ids.add(service.id() + "-" + i);
			}
		}
		return ids;
	}

	/**
	 * Return the run counts of an upstream.
	 * @param id the upstream's id
	 * @return the counts as JSON; an empty object if the call fails
	 */
	public JsonNode runCounts(String id) {
		return ProcessHttp.get(this.standins.address(id), "/admin/runs");
	}

	/**
	 * Return the number of runs of each request, summed over all plain services.
	 * @return run counts by the request's marker
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
	 * Return the directory with the logs and settings of the fleet.
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
