package org.tallycart.integration.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.tallycart.core.ini.Address;
import org.tallycart.platform.standin.StoreStandin;
import org.tallycart.platform.standin.UpstreamStandin;
import org.tallycart.standin.FaultProxy;

/**
 * Fleet of the soak test: VMs as processes, and a store and upstreams in the test
 * process. A proxy is placed on each path to the store, to an upstream and between VMs.
 * Each VM reaches the upstreams by a loopback host of its own, so that it can be cut off
 * from all of them.
 * <p>
 * Thread-safe.
 */
final class SoakFleet implements AutoCloseable {

	private static final String CONFIG = """
			{"version":%1$d,
			 "routes":[
			  {"name":"plain","host":"127.0.0.1","path_prefix":"/plain/","kind":"idempotent","timeout_ms":2000,
			   "slo_ms":200,"priority":0,"service":"plain","max_attempts":2},
			  {"name":"v","host":"127.0.0.1","path_prefix":"/v%1$d/","kind":"idempotent","timeout_ms":2000,
			   "slo_ms":200,"priority":0,"service":"plain","max_attempts":2},
			  {"name":"once","host":"127.0.0.1","path_prefix":"/once/","kind":"non_idempotent","timeout_ms":1500,
			   "slo_ms":200,"priority":0,"service":"plain","max_attempts":2},
			  {"name":"stream","host":"127.0.0.1","path_prefix":"/stream/","kind":"streaming","timeout_ms":5000,
			   "slo_ms":2000,"priority":1,"service":"engine","max_attempts":2,"resumable":true,"gap_slo_ms":300,
			   "stages":[{"service":"pool","after":[],"bytes":8000},{"service":"pool","after":[0],"bytes":6000}]}],
			 "services":[{"name":"plain"},{"name":"engine","engine":{"slots":8}},
			  {"name":"pool","pieces":{"slots":1,"queue":2,"batch":8,"call_ms":10.0,"item_ms":1.0,"headroom_mb":1.0,
			   "handle_s":4.0}}],
			 "limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,
			  "idle_timeout_ms":15000},
			 "tenants":[{"name":"w","api_keys":["key"]}]}
			""";

	/** Part of a request's target that makes the upstreams running it crash. */
	static final String CRASHING = "crash";

	/** Parts of prompts that make the engines crash that begin to answer with them. */
	static final List<String> CRASHING_PARTS = List.of("bad0", "bad1", "calm0", "calm1");

	private static final long REPLACEMENT_DELAY_MS = 1_000;

	private static final String DOMAIN = "d";

	private static final int UPSTREAMS_PER_SERVICE = 3;

	private static final int HOSTS_PER_NETWORK = 250;

	/** Duration of a request, long enough that faults hit running requests. */
	private static final long WORK_MS = 40;

	/** Time between events, long enough that faults hit running streams. */
	private static final long EVENT_INTERVAL_MS = 60;

	/** Number of software versions that serve side by side. */
	private static final int SOFTWARE_VERSIONS = 2;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final StoreStandin store = StoreStandin.start(this.group);

	private final Map<String, UpstreamStandin> upstreams = new ConcurrentHashMap<>();

	private final Map<String, FaultProxy> upstreamPaths = new ConcurrentHashMap<>();

	private final List<FaultProxy> peerPaths = new CopyOnWriteArrayList<>();

	private final Set<String> stopped = ConcurrentHashMap.newKeySet();

	private final Set<String> drainingByStatement = ConcurrentHashMap.newKeySet();

	private final Set<String> drainingByEntry = ConcurrentHashMap.newKeySet();

	private final List<Long> crashedAtMs = new CopyOnWriteArrayList<>();

	private final ScheduledExecutorService replacementExecutor = Executors.newSingleThreadScheduledExecutor();

	private final List<String> vmHosts;

	private final List<SoakNode> nodes = new ArrayList<>();

	private final Map<String, FaultProxy.Cut> cuts = new HashMap<>();

	private final Map<String, Integer> silenceCounts = new HashMap<>();

	private volatile Optional<SoakNode> mostConnections = Optional.empty();

	private volatile boolean crashingPartsSent = true;

	private int version;

	SoakFleet(Path folder, int vms) throws IOException {
		Files.createDirectories(folder);
		this.vmHosts = IntStream.range(0, vms).mapToObj(SoakFleet::vmHost).toList();
		this.store.rewriteAddresses(this::peerPath);
		this.store.continueAfterKnownNamesOnly(true);
		for (String service : List.of("plain", "engine", "pool")) {
			for (int i = 0; i < UPSTREAMS_PER_SERVICE; i++) {
				addUpstream(service);
			}
		}
		changeConfig();
		for (int i = 0; i < vms; i++) {
			this.nodes.add(new SoakNode("vm-" + i, DOMAIN, folder, this.store.address(), this.vmHosts.get(i)));
		}
	}

	private static String vmHost(int vm) {
		return "127.0." + (1 + vm / HOSTS_PER_NETWORK) + "." + (1 + vm % HOSTS_PER_NETWORK);
	}

	/**
	 * Cut a VM off from all upstreams, present and future ones.
	 * @param node the VM
	 * @param kind what it sees
	 */
	synchronized void cut(SoakNode node, FaultProxy.Cut kind) {
		this.cuts.put(node.upstreamHost(), kind);
		runningPaths().forEach((path) -> path.cut(node.upstreamHost(), kind));
	}

	/**
	 * End the cut of a VM.
	 * @param node the VM
	 */
	synchronized void heal(SoakNode node) {
		this.cuts.remove(node.upstreamHost());
		runningPaths().forEach((path) -> path.heal(node.upstreamHost()));
	}

	/**
	 * Give most new connections of callers to one VM.
	 * @param node the VM; empty if all get as many
	 */
	void giveMostConnectionsTo(Optional<SoakNode> node) {
		this.mostConnections = node;
	}

	/**
	 * Return the VM that gets most new connections.
	 * @return the VM; empty if all get as many
	 */
	Optional<SoakNode> mostConnections() {
		return this.mostConnections;
	}

	/** Have callers send no more requests with parts that crash engines. */
	void stopCrashingParts() {
		this.crashingPartsSent = false;
	}

	boolean isCrashingPartsSent() {
		return this.crashingPartsSent;
	}

	/**
	 * Have upstreams fall silent. Silences of an upstream may overlap.
	 * @param ids the upstreams
	 */
	synchronized void beginSilence(Collection<String> ids) {
		ids.forEach((id) -> {
			this.silenceCounts.merge(id, 1, Integer::sum);
			upstream(id).setSilent(true);
		});
	}

	/**
	 * End a silence. An upstream goes on when its last silence has ended.
	 * @param ids the upstreams
	 */
	synchronized void endSilence(Collection<String> ids) {
		ids.forEach((id) -> {
			if (this.silenceCounts.merge(id, -1, Integer::sum) == 0) {
				upstream(id).setSilent(false);
			}
		});
	}

	private List<FaultProxy> runningPaths() {
		return this.upstreamPaths.entrySet()
			.stream()
			.filter((entry) -> isRunning(entry.getKey()))
			.map(Map.Entry::getValue)
			.toList();
	}

	private String peerPath(String address) {
		try {
			FaultProxy proxy = FaultProxy.start(Address.parse(address).get());
			this.peerPaths.add(proxy);
			return proxy.address().toString();
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	synchronized String addUpstream(String service) throws IOException {
		String id = "i-" + service + "-" + this.upstreams.size();
		UpstreamStandin upstream = UpstreamStandin.start(id, this.group);
		FaultProxy path = FaultProxy.start(upstream.address(), this.vmHosts);
		this.cuts.forEach(path::cut);
		upstream.advertise(path.address());
		upstream.setWorkMs(WORK_MS);
		upstream.setEventIntervalMs(EVENT_INTERVAL_MS);
		upstream.setSoftwareVersion("v" + this.upstreams.size() % SOFTWARE_VERSIONS);
		upstream.stateVersionInEvents();
		upstream.crashOnParts(Set.copyOf(CRASHING_PARTS), () -> replace(id, service));
		upstream.crashOn(CRASHING, () -> replace(id, service));
		this.upstreams.put(id, upstream);
		this.upstreamPaths.put(id, path);
		publish(id, "ready");
		return id;
	}

	// A crashed upstream refuses connections and is replaced under another ID after a
	// delay.
	private void replace(String id, String service) {
		this.crashedAtMs.add(TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
		this.upstreamPaths.get(id).close();
		this.stopped.add(id);
		this.replacementExecutor.schedule(() -> startReplacement(id, service), REPLACEMENT_DELAY_MS,
				TimeUnit.MILLISECONDS);
	}

	// Returns the times of the crashes, in order, in milliseconds of the monotonic clock.
	List<Long> crashesMs() {
		return new ArrayList<>(this.crashedAtMs);
	}

	/**
	 * Make an upstream state in its replies, but not in its entry, that it is draining.
	 * It keeps serving, stops after a delay, and is replaced.
	 * @param id the ID of the upstream
	 * @param afterMs the delay until it stops, in milliseconds
	 */
	void drain(String id, long afterMs) {
		this.drainingByStatement.add(id);
		upstream(id).stateDraining("1");
		this.replacementExecutor.schedule(() -> {
			if (!isRunning(id)) {
				return null;
			}
			this.stopped.add(id);
			this.upstreamPaths.get(id).close();
			return startReplacement(id, service(id));
		}, afterMs, TimeUnit.MILLISECONDS);
	}

	private String startReplacement(String id, String service) throws IOException {
		if (this.store.names("servers").contains(id)) {
			this.store.remove("servers", id);
		}
		return addUpstream(service);
	}

	// Returns whether the upstream may drain and leave its service with another upstream.
	boolean mayDrain(String id) {
		long activeCount = this.upstreams.keySet()
			.stream()
			.filter((each) -> service(each).equals(service(id)) && isActive(each))
			.count();
		return isActive(id) && activeCount > 1;
	}

	boolean isActive(String id) {
		return isRunning(id) && !this.drainingByStatement.contains(id);
	}

	boolean isRunning(String id) {
		return !this.stopped.contains(id);
	}

	void publish(String id, String state) {
		if (this.stopped.contains(id)) {
			return;
		}
		if (state.equals("draining")) {
			this.drainingByEntry.add(id);
		}
		this.store.put("servers", id, upstream(id).entry(service(id), DOMAIN, state));
	}

	/** Write the latest objects of the operator and the upstreams to the store again. */
	synchronized void rewriteObjects() {
		this.store.put("config", "main", String.format(CONFIG, this.version));
		Set<String> draining = Set.copyOf(this.drainingByEntry);
		this.upstreams.keySet().forEach((id) -> publish(id, draining.contains(id) ? "draining" : "ready"));
	}

	private static String service(String id) {
		return id.split("-")[1];
	}

	UpstreamStandin upstream(String id) {
		return this.upstreams.get(id);
	}

	synchronized int changeConfig() {
		this.version++;
		this.store.put("config", "main", String.format(CONFIG, this.version));
		return this.version;
	}

	synchronized int version() {
		return this.version;
	}

	StoreStandin store() {
		return this.store;
	}

	List<SoakNode> nodes() {
		return this.nodes;
	}

	List<String> upstreamIds() {
		return this.upstreams.keySet().stream().sorted().toList();
	}

	List<String> runningUpstreams(String service) {
		return upstreamIds().stream().filter((id) -> service(id).equals(service) && isRunning(id)).toList();
	}

	FaultProxy upstreamPath(String id) {
		return this.upstreamPaths.get(id);
	}

	List<FaultProxy> peerPaths() {
		return this.peerPaths;
	}

	int runCount(String request) {
		return this.upstreams.values().stream().mapToInt((upstream) -> upstream.runCount(request)).sum();
	}

	@Override
	public void close() {
		this.nodes.forEach(SoakNode::close);
		this.replacementExecutor.shutdownNow();
		this.upstreamPaths.values().forEach(FaultProxy::close);
		this.peerPaths.forEach(FaultProxy::close);
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

}
