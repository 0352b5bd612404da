package org.tallycart.integration.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.tallycart.core.ini.Address;
import org.tallycart.platform.standin.StoreStandin;
import org.tallycart.platform.standin.UpstreamStandin;
import org.tallycart.standin.FaultProxy;

/**
 * VMs as processes, and beside them, in the test's own process, a store and upstreams. A
 * proxy stands on each path: to the store, to each upstream, to each VM from the others.
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

	/** What a request's target holds that crashes the upstreams that run it. */
	static final String CRASHING = "crash";

	private static final long BACK_MS = 1_000;

	private static final String DOMAIN = "d";

	private static final int UPSTREAMS_EACH = 3;

	/** How long a request runs, so that faults meet some that run, in milliseconds. */
	private static final long WORK_MS = 40;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final StoreStandin store = StoreStandin.start(this.group);

	private final Map<String, UpstreamStandin> upstreams = new ConcurrentHashMap<>();

	private final Map<String, FaultProxy> upstreamPaths = new ConcurrentHashMap<>();

	private final List<FaultProxy> peerPaths = new CopyOnWriteArrayList<>();

	private final Set<String> gone = ConcurrentHashMap.newKeySet();

	private final Set<String> leaving = ConcurrentHashMap.newKeySet();

	private final Set<String> draining = ConcurrentHashMap.newKeySet();

	private final List<Long> crashedAtMs = new CopyOnWriteArrayList<>();

	private final ScheduledExecutorService back = Executors.newSingleThreadScheduledExecutor();

	private final List<SoakNode> nodes = new ArrayList<>();

	private int version;

	SoakFleet(Path folder, int vms) throws IOException {
		Files.createDirectories(folder);
		this.store.rewriteAddresses(this::peerPath);
		for (String service : List.of("plain", "engine", "pool")) {
			for (int i = 0; i < UPSTREAMS_EACH; i++) {
				addUpstream(service);
			}
		}
		changeConfig();
		for (int i = 0; i < vms; i++) {
			this.nodes.add(new SoakNode("vm-" + i, DOMAIN, folder, this.store.address()));
		}
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
		FaultProxy path = FaultProxy.start(upstream.address());
		upstream.advertise(path.address());
		upstream.setWorkMs(WORK_MS);
		upstream.crashOn(CRASHING, () -> replace(id, service));
		this.upstreams.put(id, upstream);
		this.upstreamPaths.put(id, path);
		list(id, "ready");
		return id;
	}

	// An upstream that a request has crashed refuses connections and is back under
	// another
	// name after a while.
	private void replace(String id, String service) {
		this.crashedAtMs.add(TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
		this.upstreamPaths.get(id).close();
		this.gone.add(id);
		this.back.schedule(() -> takePlace(id, service), BACK_MS, TimeUnit.MILLISECONDS);
	}

	// When requests crashed upstreams, in their order.
	List<Long> crashesMs() {
		return new ArrayList<>(this.crashedAtMs);
	}

	/**
	 * Have an upstream say in its replies that it leaves, and nothing in its entry. It
	 * serves on, ends after a while, and another takes its place.
	 * @param id the upstream
	 * @param afterMs when it ends, in milliseconds
	 */
	void leave(String id, long afterMs) {
		this.leaving.add(id);
		upstream(id).stateDraining("1");
		this.back.schedule(() -> {
			if (!lives(id)) {
				return null;
			}
			this.gone.add(id);
			this.upstreamPaths.get(id).close();
			return takePlace(id, service(id));
		}, afterMs, TimeUnit.MILLISECONDS);
	}

	private String takePlace(String id, String service) throws IOException {
		if (this.store.names("servers").contains(id)) {
			this.store.remove("servers", id);
		}
		return addUpstream(service);
	}

	// Whether it may be told to leave, so that it and others of its service go on.
	boolean mayLeave(String id) {
		long staying = this.upstreams.keySet()
			.stream()
			.filter((each) -> service(each).equals(service(id)) && stays(each))
			.count();
		return stays(id) && staying > 1;
	}

	boolean stays(String id) {
		return lives(id) && !this.leaving.contains(id);
	}

	boolean lives(String id) {
		return !this.gone.contains(id);
	}

	void list(String id, String state) {
		if (this.gone.contains(id)) {
			return;
		}
		if (state.equals("draining")) {
			this.draining.add(id);
		}
		this.store.put("servers", id, upstream(id).entry(service(id), DOMAIN, state));
	}

	/** What the operator and the upstreams have written last, once more. */
	synchronized void writeAgain() {
		this.store.put("config", "main", String.format(CONFIG, this.version));
		Set<String> draining = Set.copyOf(this.draining);
		this.upstreams.keySet().forEach((id) -> list(id, draining.contains(id) ? "draining" : "ready"));
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

	FaultProxy upstreamPath(String id) {
		return this.upstreamPaths.get(id);
	}

	List<FaultProxy> peerPaths() {
		return this.peerPaths;
	}

	int runs(String request) {
		return this.upstreams.values().stream().mapToInt((upstream) -> upstream.runCount(request)).sum();
	}

	@Override
	public void close() {
		this.nodes.forEach(SoakNode::close);
		this.back.shutdownNow();
		this.upstreamPaths.values().forEach(FaultProxy::close);
		this.peerPaths.forEach(FaultProxy::close);
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

}
