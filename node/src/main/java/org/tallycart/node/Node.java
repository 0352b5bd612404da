package org.tallycart.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vavr.control.Either;
import org.tallycart.core.crash.Quarantine;
import org.tallycart.core.fleet.LeaderRole;
import org.tallycart.core.ini.Address;
import org.tallycart.core.serving.NodeSettings;
import org.tallycart.core.serving.ServiceSpec;
import org.tallycart.core.serving.ServingConfig;
import org.tallycart.core.time.HybridClock;
import org.tallycart.core.upstream.ColdStartLimiter;
import org.tallycart.core.upstream.UpstreamDirectory;
import org.tallycart.http.event.HttpClient;
import org.tallycart.http.event.HttpServer;
import org.tallycart.node.crash.CrashReportCoordinator;
import org.tallycart.node.crash.UpstreamCrashDetector;
import org.tallycart.node.log.NodeLog;
import org.tallycart.node.log.NodeLogging;
import org.tallycart.node.metrics.MetricsHandler;
import org.tallycart.node.metrics.NodeMetrics;
import org.tallycart.node.peer.NoticeDistributor;
import org.tallycart.node.peer.PeerMesh;
import org.tallycart.node.peer.PeerMessageHandler;
import org.tallycart.node.piece.PieceService;
import org.tallycart.node.piece.PoolContext;
import org.tallycart.node.piece.ResultReleaser;
import org.tallycart.node.request.CallerHandler;
import org.tallycart.node.request.RetryBudgets;
import org.tallycart.node.request.ServingContext;
import org.tallycart.node.statement.PermitService;
import org.tallycart.node.statement.UpstreamStatements;
import org.tallycart.node.store.ActiveConfig;
import org.tallycart.node.store.ReplicatedState;
import org.tallycart.node.store.StoreReplicator;
import org.tallycart.platform.store.ObjectClient;
import org.tallycart.platform.store.QuarantineRecords;
import org.tallycart.runtime.event.EventCode;
import org.tallycart.runtime.process.Clocks;
import org.tallycart.runtime.process.Guard;
import org.tallycart.wire.WireIdentity;
import org.tallycart.wire.WireTransport;

/**
 * The serving process: its parts, their start and their graceful stop.
 * <p>
 * Invariant: all parts run on one event loop. Not thread-safe, but for {@link #drain()}
 * and {@link #awaitStopped()}.
 */
final class Node {

	/** Time between two looks at what has expired, in milliseconds. */
	private static final long HOUSEKEEPING_MS = 200;

	/**
	 * How long callers are still accepted after a stop began, in milliseconds: the
	 * platform asks once a second and needs two misses.
	 */
	private static final long STILL_ACCEPTING_MS = 2_300;

	/** Time kept before the kill, in milliseconds. */
	private static final long BEFORE_KILL_MS = 600;

	/** Time between two looks at whether all work has ended, in milliseconds. */
	private static final long STOP_CHECK_MS = 50;

	private final NodeSettings settings;

	private final int metricsPort;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final NodeLog log = new NodeLog(EventLoop::steadyMs);

	private final EventLoop loop = new EventLoop(this.group.next(), Guard.install(this::onFailure));

	private final CountDownLatch stopped = new CountDownLatch(1);

	private final NodeMetrics metrics = new NodeMetrics();

	private final ActiveConfig config = new ActiveConfig(this.log);

	private final UpstreamDirectory directory = new UpstreamDirectory();

	private final ReadinessHandler readiness = new ReadinessHandler(this.config, this.directory, this.log);

	private final HttpClient http = HttpClient.create(this.group, this.loop::nowMs);

	private final Quarantine quarantine = new Quarantine();

	private final NoticeDistributor statementSpread;

	private final UpstreamStatements statements;

	private final PermitService permits;

	private final NoticeDistributor crashSpread;

	private final CrashReportCoordinator crashNews;

	private final PieceService pieces;

	private final PeerMesh mesh;

	private final StoreReplicator store;

	private final RetryBudgets budgets;

	private final ColdStartLimiter cold;

	private final CallerHandler callerHandler;

	private final WireTransport transport;

	private Optional<Listeners> listeners = Optional.empty();

	private Runnable drainAction = () -> {
	};

	private Node(NodeSettings settings, int metricsPort) {
		this.metricsPort = metricsPort;
		this.settings = settings;
		WireIdentity identity = new WireIdentity(settings.vm(), Clocks.SYSTEM.wallMs(), new HybridClock(),
				Clocks.SYSTEM::wallMs);
		this.transport = WireTransport.create(identity, this.group);
		ObjectClient objects = new ObjectClient(this.http, this.loop.executor(), settings.store(),
				this.metrics::onStoreCall);
		ReplicatedState known = new ReplicatedState(this.config, this.directory, this.quarantine, this.metrics);
		this.store = new StoreReplicator(settings, objects, this.loop, this.log, known, this::onChange,
				this::wantDuties);
		this.crashSpread = new NoticeDistributor(settings.vm(), this.store);
		this.crashNews = new CrashReportCoordinator(this.quarantine, this.loop, this.log,
				new QuarantineRecords(objects), this.crashSpread);
		UpstreamCrashDetector crashes = new UpstreamCrashDetector(this.http, this.loop, this.log, this.metrics,
				this.crashNews);
		this.statementSpread = new NoticeDistributor(settings.vm(), this.store);
		this.statements = new UpstreamStatements(this.loop, () -> identity.clock().tick(Clocks.SYSTEM.wallMs()),
				this.log, this.metrics, this.directory, this.statementSpread, this::wantDuties);
		this.permits = new PermitService(settings.vm(), this.statements, this.loop, this.metrics);
		ResultReleaser returns = new ResultReleaser(this.http, this.loop, this.directory);
		PoolContext parts = new PoolContext(this.http, this.loop, this.log, returns, crashes, this.statements,
				this.permits, this.metrics);
		this.pieces = new PieceService(settings.vm(), parts, this.config, this.directory);
		this.mesh = new PeerMesh(settings.vm(), this.transport, this.loop, this.log,
				PeerMessageHandler.composite(List.of(this.pieces, this.crashNews, this.statements, this.permits)),
				this.store);
		this.budgets = new RetryBudgets(settings.platformLimits(), this.loop, this::vmsSharingBudgets);
		this.cold = new ColdStartLimiter(settings.vm(), this.mesh::vms, this::coldPerSecond);
		ServingContext serving = new ServingContext(settings.failureDomain(), this.loop, this.log, this.http,
				this.directory, this.cold, this.statements, this.permits, this.pieces, this.budgets, crashes,
				this.quarantine, this.metrics);
		this.callerHandler = new CallerHandler(serving, this.config);
	}

	/**
	 * Start a process.
	 * @param settings its settings
	 * @param metricsPort where metrics are shown; 0 takes a free port
	 * @return the process, or why it cannot start
	 */
	static Either<String, Node> start(NodeSettings settings, int metricsPort) {
		Node node = new Node(settings, metricsPort);
		return node.listen().map((listeners) -> {
			node.loop.execute(() -> node.begin(listeners));
			return node;
		});
	}

	// A broken invariant ends the process right after this, so its line has to be out.
	private void onFailure(EventCode code, String detail) {
		this.log.event(code, "detail", detail);
		if (code == EventCode.INVARIANT_BROKEN) {
			NodeLogging.flush();
		}
	}

	// While no VM is known there may be any number: nothing is taken of what all share.
	private int vmsSharingBudgets() {
		int known = this.mesh.knownVmCount();
		return (known > 0) ? known : Integer.MAX_VALUE;
	}

	private double coldPerSecond(String service) {
		return this.config.current()
			.flatMap((current) -> current.service(service))
			.map(ServiceSpec::coldRequestsPerSecond)
			.orElse(0.0);
	}

	private void onChange() {
		wantDuties();
		this.pieces.refreshPools();
	}

	private void wantDuties() {
		List<LeaderRole> duties = new ArrayList<>(this.pieces.duties());
		duties.addAll(this.store.watchedRoles());
		duties.addAll(this.statements.watchedRoles());
		this.mesh.setWatchedRoles(duties);
	}

	private Either<String, Listeners> listen() {
		Address metricsAddress = new Address(this.settings.ip(), this.metricsPort);
		Address peers = new Address(this.settings.ip(), this.settings.peerPort());
		return this.transport.listen(peers, this.mesh::receive)
			.flatMap((wire) -> HttpServer.start(this.group, this.settings.readiness(), this.readiness)
				.flatMap((ready) -> HttpServer.start(this.group, this.settings.callers(), this.callerHandler)
					.flatMap((callers) -> HttpServer.start(this.group, metricsAddress, new MetricsHandler(this.metrics))
						.map((page) -> new Listeners(new Address(this.settings.ip(), wire.port()), ready, callers,
								page)))))
			.peek((listeners) -> this.listeners = Optional.of(listeners));
	}

	/**
	 * Return where callers are accepted.
	 * @return the port
	 */
	int callersPort() {
		return this.listeners.map((present) -> present.callers().port()).orElse(0);
	}

	/**
	 * Return where readiness is asked for.
	 * @return the port
	 */
	int readinessPort() {
		return this.listeners.map((present) -> present.readiness().port()).orElse(0);
	}

	/**
	 * Return where metrics are shown.
	 * @return the port
	 */
	int metricsPort() {
		return this.listeners.map((present) -> present.metrics().port()).orElse(0);
	}

	private void begin(Listeners listeners) {
		this.metrics.registerGauge("config.version",
				() -> this.config.current().map(ServingConfig::version).orElse(0L));
		this.metrics.registerGauge("vms.live", this.mesh::liveVmCount);
		this.metrics.registerGauge("pieces.outstanding", this.pieces::outstanding);
		this.metrics.registerGauge("store.missed", () -> this.store.isProbeFailing() ? 1 : 0);
		this.metrics.registerGauge("upstreams", () -> this.directory.ids().size());
		this.metrics.registerGauge("evacuated_domains", () -> this.directory.evacuatedDomains().size());
		this.metrics.registerGauge("store.era", this.store::era);
		this.metrics.registerGauge("store.kept_against_copy", this.store::overrideCount);
		this.metrics.registerGauge("upstreams.limited", this.statements::limitedCount);
		this.metrics.registerGauge("upstreams.leaving", this.statements::drainingCount);
		this.metrics.registerGauge("upstreams.resting", this.statements::backoffCount);
		this.metrics.registerGauge("quarantine.requests", () -> this.quarantine.all().size());
		this.metrics.registerGauge("store.following", () -> this.store.readsStore() ? 1 : 0);
		this.drainAction = () -> beginDrain(listeners.callers());
		this.log.event(EventCode.PROCESS_STARTED, "vm", this.settings.vm(), "domain", this.settings.failureDomain(),
				"callers", new Address(this.settings.ip(), callersPort()), "readiness",
				new Address(this.settings.ip(), readinessPort()), "metrics",
				new Address(this.settings.ip(), metricsPort()), "store", this.settings.store());
		wantDuties();
		this.mesh.start();
		this.store.onRollback(this.crashNews::republish);
		this.store.start(this.mesh, listeners.peers());
		this.pieces.start(this.mesh);
		this.crashSpread.start(this.mesh);
		this.statementSpread.start(this.mesh);
		this.permits.start(this.mesh);
		this.loop.scheduleWithFixedDelay(HOUSEKEEPING_MS, this::housekeeping);
	}

	private void housekeeping() {
		this.directory.expireVanished(this.loop.nowMs());
		this.cold.expire(this.loop.nowMs());
		this.crashNews.refresh();
		this.statements.refresh();
		this.permits.expire();
		this.http.closeStale();
		this.readiness.ready();
	}

	/**
	 * Take new settings; what a running process cannot change waits for its next start.
	 * @param fresh the settings
	 */
	void reload(NodeSettings fresh) {
		this.loop.execute(() -> {
			this.budgets.update(fresh.platformLimits());
			this.log.event(EventCode.SETTINGS_CHANGED, "taken", true);
		});
	}

	/**
	 * Take note of a settings file that cannot be read.
	 * @param problems what is wrong with it
	 */
	void reloadFailed(List<String> problems) {
		this.loop.execute(() -> this.log.event(EventCode.SETTINGS_CHANGED, "taken", false, "problems", problems));
	}

	/** Begin a graceful stop. */
	void drain() {
		this.loop.execute(() -> this.drainAction.run());
	}

	/**
	 * Run a task again and again on the event loop.
	 * @param periodMs the pause between two runs, in milliseconds
	 * @param task the task
	 */
	void everyCheck(long periodMs, Runnable task) {
		this.loop.scheduleWithFixedDelay(periodMs, task);
	}

	private void beginDrain(HttpServer callers) {
		this.drainAction = () -> {
		};
		this.log.event(EventCode.DRAIN_BEGAN, "busy", callers.busyConnections());
		this.readiness.drain();
		this.readiness.ready();
		this.mesh.drain();
		this.pieces.handOver();
		callers.drain();
		long deadline = this.loop.nowMs() + this.settings.platformLimits().graceMs() - BEFORE_KILL_MS;
		this.loop.schedule(STILL_ACCEPTING_MS, () -> {
			callers.stopListening();
			callers.closeIdle();
			awaitIdle(callers, deadline);
		});
	}

	private void awaitIdle(HttpServer callers, long deadline) {
		boolean idle = callers.busyConnections() == 0 && this.pieces.idle();
		if (idle || this.loop.nowMs() >= deadline) {
			this.log.event(EventCode.DRAIN_ENDED, "idle", idle);
			this.loop.schedule(STOP_CHECK_MS, this.stopped::countDown);
			return;
		}
		this.loop.schedule(STOP_CHECK_MS, () -> awaitIdle(callers, deadline));
	}

	/**
	 * Wait until a graceful stop has ended.
	 * @throws InterruptedException if the thread is interrupted
	 */
	void awaitStopped() throws InterruptedException {
		this.stopped.await();
	}

	/** Stop at once, as a kill would. */
	void close() {
		this.group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
	}

	/**
	 * What the process listens on.
	 *
	 * @param peers where other VMs are accepted
	 * @param readiness answers the platform
	 * @param callers answers callers
	 * @param metrics shows what is counted
	 */
	private record Listeners(Address peers, HttpServer readiness, HttpServer callers, HttpServer metrics) {
	}

}
