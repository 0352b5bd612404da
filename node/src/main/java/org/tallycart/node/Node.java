package org.tallycart.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vavr.control.Either;
import org.tallycart.core.attempt.HedgeLimits;
import org.tallycart.core.crash.Quarantine;
import org.tallycart.core.fleet.LeaderRole;
import org.tallycart.core.ini.Address;
import org.tallycart.core.overload.ConnectionAdmission;
import org.tallycart.core.serving.NodeSettings;
import org.tallycart.core.serving.ServiceSpec;
import org.tallycart.core.serving.ServingConfig;
import org.tallycart.core.time.HybridClock;
import org.tallycart.core.upstream.ColdStartLimiter;
import org.tallycart.core.upstream.ReadingSpeeds;
import org.tallycart.core.upstream.UpstreamDirectory;
import org.tallycart.http.event.HeldBytes;
import org.tallycart.http.event.HttpClient;
import org.tallycart.http.event.HttpServer;
import org.tallycart.http.event.MessageLimits;
import org.tallycart.http.event.ReceiveLimits;
import org.tallycart.node.crash.CrashReportCoordinator;
import org.tallycart.node.crash.UpstreamCrashDetector;
import org.tallycart.node.link.UpstreamLinks;
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
import org.tallycart.node.request.HedgeControl;
import org.tallycart.node.request.InFlightRequests;
import org.tallycart.node.request.RetryBudgets;
import org.tallycart.node.request.ServingContext;
import org.tallycart.node.statement.PermitService;
import org.tallycart.node.statement.UpstreamStatements;
import org.tallycart.node.store.ActiveConfig;
import org.tallycart.node.store.ReplicatedState;
import org.tallycart.node.store.StoreReplicator;
import org.tallycart.node.stream.SoftwareVersionHistory;
import org.tallycart.node.stream.StreamOriginService;
import org.tallycart.platform.store.ObjectClient;
import org.tallycart.platform.store.QuarantineRecords;
import org.tallycart.platform.store.SoftwareVersionRecords;
import org.tallycart.runtime.event.EventCode;
import org.tallycart.runtime.process.Clocks;
import org.tallycart.runtime.process.TaskFailureHandler;
import org.tallycart.wire.WireIdentity;
import org.tallycart.wire.WireTransport;

/**
 * The serving process: creates, starts and gracefully stops its components.
 * <p>
 * Invariant: all components run on one event loop. Not thread-safe, except for
 * {@link #drain()}, {@link #awaitStopped()} and the reload methods.
 */
final class Node {

	/** Interval at which expired state is dropped, in milliseconds. */
	private static final long HOUSEKEEPING_INTERVAL_MS = 200;

	/**
	 * Time for which callers are still accepted after a drain began, in milliseconds: the
	 * platform polls readiness once a second, and reacts to the second failure.
	 */
	private static final long ACCEPT_DURING_DRAIN_MS = 2_300;

	/** Reserve before the platform kills the process, in milliseconds. */
	private static final long KILL_RESERVE_MS = 600;

	/**
	 * Time before the end of a drain at which requests are refused that no upstream has,
	 * and pieces of silent workers are handed back, in milliseconds. Their callers have
	 * time for another VM, and few would be answered here.
	 */
	private static final long REFUSE_NOT_SENT_MS = 2_000;

	/** Interval at which a drain checks for remaining work, in milliseconds. */
	private static final long DRAIN_CHECK_INTERVAL_MS = 50;

	/** Memory of the incomplete messages of all connections, in bytes at most. */
	private static final long MAX_HELD_BYTES = 32 << 20;

	/**
	 * Age up to which this VM uses its list of VMs to divide what all VMs share, in
	 * milliseconds. Less than the time for which other VMs count this one after its entry
	 * has expired.
	 */
	private static final long MAX_VM_LIST_AGE_MS = 30_000;

	/** Maximum size of a reply of the store, in bytes; a page has about one megabyte. */
	private static final int MAX_STORE_REPLY_BYTES = 8 << 20;

	private final NodeSettings settings;

	private final int metricsPort;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final NodeLog log = new NodeLog(EventLoop::monotonicMs);

	private final EventLoop loop = new EventLoop(this.group.next(), TaskFailureHandler.install(this::onFailure));

	private final CountDownLatch stopped = new CountDownLatch(1);

	private final NodeMetrics metrics = new NodeMetrics();

	private final ActiveConfig config = new ActiveConfig(this.log);

	private final UpstreamDirectory directory;

	private final ReadinessHandler readiness;

	private final HeldBytes held = new HeldBytes(MAX_HELD_BYTES);

	private final HttpClient http = HttpClient.create(this.group, this.loop::nowMs,
			new ReceiveLimits(MessageLimits.builder().replyBytes(MAX_STORE_REPLY_BYTES).build(), this.held));

	private final UpstreamLinks links;

	private final Quarantine quarantine = new Quarantine();

	private final NoticeDistributor statementDistributor;

	private final UpstreamStatements statements;

	private final PermitService permits;

	private final NoticeDistributor crashDistributor;

	private final CrashReportCoordinator crashReports;

	private final PieceService pieces;

	private final SoftwareVersionHistory versions;

	private final StreamOriginService streamOrigins;

	private final PeerMesh mesh;

	private final StoreReplicator store;

	private final RetryBudgets budgets;

	private final HedgeControl hedges;

	private final ColdStartLimiter coldStarts;

	private final InFlightRequests inFlight = new InFlightRequests();

	private final CallerHandler callerHandler;

	private final ConnectionAdmission admission;

	private final WireTransport transport;

	private Optional<Listeners> listeners = Optional.empty();

	private Runnable drainAction = () -> {
	};

	private Node(NodeSettings settings, int metricsPort, Optional<String> proxyHost, HedgeLimits hedgeLimits) {
		this.metricsPort = metricsPort;
		this.settings = settings;
		this.directory = new UpstreamDirectory(settings.upstreamHeartbeatMs());
		this.readiness = new ReadinessHandler(this.config, this.directory, this.log);
		WireIdentity identity = new WireIdentity(settings.vm(), Clocks.SYSTEM.wallMs(), new HybridClock(),
				Clocks.SYSTEM::wallMs);
		this.transport = WireTransport.create(identity, this.group);
		this.links = new UpstreamLinks(this.group, proxyHost,
				new ReceiveLimits(MessageLimits.builder().build(), this.held), this.loop, this.log, this.metrics,
				this.directory);
		ObjectClient objects = new ObjectClient(this.http, this.loop.executor(), settings.store(),
				this.metrics::onStoreCall);
		ReplicatedState state = new ReplicatedState(this.config, this.directory, this.quarantine, this.metrics);
		this.store = new StoreReplicator(settings, objects, this.loop, this.log, state, this::onChange,
				this::updateWatchedRoles);
		this.crashDistributor = new NoticeDistributor(settings.vm(), this.store);
		this.crashReports = new CrashReportCoordinator(this.quarantine, this.loop, this.log,
				new QuarantineRecords(objects), this.crashDistributor);
		UpstreamCrashDetector crashes = new UpstreamCrashDetector(this.links.http(), this.links::isIsolated, this.loop,
				this.log, this.metrics, this.crashReports);
		this.statementDistributor = new NoticeDistributor(settings.vm(), this.store);
		this.statements = new UpstreamStatements(this.loop, () -> identity.clock().tick(Clocks.SYSTEM.wallMs()),
				this.log, this.metrics, this.directory, this.statementDistributor, this::updateWatchedRoles);
		this.permits = new PermitService(settings.vm(), this.statements, this.loop, this.metrics);
		ResultReleaser releaser = new ResultReleaser(this.links, this.loop, this.directory);
		PoolContext poolContext = new PoolContext(this.links, this.loop, this.log, releaser, crashes, this.statements,
				this.permits, this.metrics);
		this.pieces = new PieceService(settings.vm(), poolContext, this.config, this.directory);
		this.versions = new SoftwareVersionHistory(this.directory, this.config, new SoftwareVersionRecords(objects),
				this.loop, this.log, this.store::upToDateSinceMs, this.store::readsStore);
		this.streamOrigins = new StreamOriginService(settings.vm(), this.loop, this.metrics, this.versions,
				this.store::isLoaded);
		this.mesh = new PeerMesh(settings.vm(), this.transport, this.loop, this.log, PeerMessageHandler.composite(
				List.of(this.pieces, this.crashReports, this.statements, this.permits, this.links, this.streamOrigins)),
				this.store);
		this.budgets = new RetryBudgets(settings.platformLimits(), this.loop, this::budgetSharingVms);
		this.hedges = new HedgeControl(hedgeLimits, settings.platformLimits(), this.budgets, this.loop,
				this::budgetSharingVms);
		this.coldStarts = new ColdStartLimiter(settings.vm(), this.mesh::vms, this::coldRequestsPerSecond);
		ServingContext servingContext = new ServingContext(settings.failureDomain(), this.loop, this.log, this.links,
				this.directory, new ReadingSpeeds(), (bound) -> ThreadLocalRandom.current().nextInt(bound),
				this.coldStarts, this.statements, this.permits, this.pieces, this.streamOrigins, this.inFlight,
				this.budgets, this.hedges, crashes, this.quarantine, this.metrics);
		this.callerHandler = new CallerHandler(servingContext, this.config);
		this.admission = new ConnectionAdmission(settings.maxCallerConnections(), this.loop.nowMs());
	}

	/**
	 * Start a process.
	 * @param settings the settings
	 * @param metricsPort the port of the metrics; 0 for a free port
	 * @return the process, or the reason why it cannot start
	 */
	static Either<String, Node> start(NodeSettings settings, int metricsPort) {
		return start(settings, metricsPort, Optional.empty(), HedgeLimits.OFF);
	}

	/**
	 * Start a process that may reach the upstreams by a proxy, and may hedge requests.
	 * @param settings the settings
	 * @param metricsPort the port of the metrics; 0 for a free port
	 * @param proxyHost the host to connect to in place of those of the upstreams; empty
	 * for their own
	 * @param hedgeLimits the operators' limits on hedges
	 * @return the process, or the reason why it cannot start
	 */
	static Either<String, Node> start(NodeSettings settings, int metricsPort, Optional<String> proxyHost,
			HedgeLimits hedgeLimits) {
		Node node = new Node(settings, metricsPort, proxyHost, hedgeLimits);
		return node.listen().map((listeners) -> {
			node.loop.execute(() -> node.startComponents(listeners));
			return node;
		});
	}

	// The process ends right after a broken invariant, so the line is flushed.
	private void onFailure(EventCode code, String detail) {
		this.log.event(code, "detail", detail);
		if (code == EventCode.INVARIANT_BROKEN) {
			NodeLogging.flush();
		}
	}

	// While the list of VMs is old there may be any number, so no shared budget is used.
	private int budgetSharingVms() {
		return (this.store.ageMs() <= MAX_VM_LIST_AGE_MS) ? this.mesh.knownVmCount() : 0;
	}

	private double coldRequestsPerSecond(String service) {
		return this.config.current()
			.flatMap((current) -> current.service(service))
			.map(ServiceSpec::coldRequestsPerSecond)
			.orElse(0.0);
	}

	private void onChange() {
		updateWatchedRoles();
		this.pieces.refreshPools();
	}

	private void updateWatchedRoles() {
		List<LeaderRole> roles = new ArrayList<>(this.pieces.watchedRoles());
		roles.addAll(this.store.watchedRoles());
		roles.addAll(this.statements.watchedRoles());
		this.mesh.setWatchedRoles(roles);
	}

	private Either<String, Listeners> listen() {
		Address metricsAddress = new Address(this.settings.ip(), this.metricsPort);
		Address peers = new Address(this.settings.ip(), this.settings.peerPort());
		return this.transport.listen(peers, this.mesh::receive)
			.flatMap((peerListener) -> HttpServer.start(this.group, this.settings.readiness(), this.readiness)
				.flatMap((ready) -> HttpServer
					.start(this.group, this.settings.callers(), this.callerHandler, this::tryAdmit)
					.flatMap((callers) -> HttpServer.start(this.group, metricsAddress, new MetricsHandler(this.metrics))
						.map((metricsServer) -> new Listeners(new Address(this.settings.ip(), peerListener.port()),
								ready, callers, metricsServer)))))
			.peek((listeners) -> this.listeners = Optional.of(listeners));
	}

	private boolean tryAdmit(int openConnections) {
		boolean admitted = this.admission.tryAdmit(openConnections, this.loop.nowMs());
		if (!admitted) {
			this.metrics.onConnectionNotAdmitted();
		}
		return admitted;
	}

	/**
	 * Return the port for callers.
	 * @return the port; 0 if the process does not listen yet
	 */
	int callersPort() {
		return this.listeners.map((present) -> present.callers().port()).orElse(0);
	}

	/**
	 * Return the port of the readiness endpoint.
	 * @return the port; 0 if the process does not listen yet
	 */
	int readinessPort() {
		return this.listeners.map((present) -> present.readiness().port()).orElse(0);
	}

	/**
	 * Return the port of the metrics.
	 * @return the port; 0 if the process does not listen yet
	 */
	int metricsPort() {
		return this.listeners.map((present) -> present.metrics().port()).orElse(0);
	}

	private void startComponents(Listeners listeners) {
		this.metrics.registerGauge("config.version",
				() -> this.config.current().map(ServingConfig::version).orElse(0L));
		this.metrics.registerGauge("vms.live", this.mesh::liveVmCount);
		this.metrics.registerGauge("vms.known", this.mesh::knownVmCount);
		this.metrics.registerGauge("pieces.outstanding", this.pieces::outstanding);
		this.metrics.registerGauge("store.missed", () -> this.store.isProbeFailing() ? 1 : 0);
		this.metrics.registerGauge("upstreams", () -> this.directory.ids().size());
		this.metrics.registerGauge("upstreams.retained", () -> this.directory.retainedIds().size());
		this.metrics.registerGauge("evacuated_domains", () -> this.directory.evacuatedDomains().size());
		this.metrics.registerGauge("store.era", this.store::era);
		this.metrics.registerGauge("store.kept_against_copy", this.store::overrideCount);
		this.metrics.registerGauge("upstreams.limited", this.statements::limitedCount);
		this.metrics.registerGauge("upstreams.leaving", this.statements::drainingCount);
		this.metrics.registerGauge("upstreams.resting", this.statements::backoffCount);
		this.metrics.registerGauge("quarantine.requests", () -> this.quarantine.all().size());
		this.metrics.registerGauge("upstream_links.lost", () -> this.links.isIsolated() ? 1 : 0);
		this.metrics.registerGauge("stream_origins.kept", this.streamOrigins::size);
		this.metrics.registerGauge("store.following", () -> this.store.readsStore() ? 1 : 0);
		this.drainAction = () -> beginDrain(listeners.callers());
		this.log.event(EventCode.PROCESS_STARTED, "vm", this.settings.vm(), "domain", this.settings.failureDomain(),
				"callers", new Address(this.settings.ip(), callersPort()), "readiness",
				new Address(this.settings.ip(), readinessPort()), "metrics",
				new Address(this.settings.ip(), metricsPort()), "store", this.settings.store());
		updateWatchedRoles();
		this.mesh.start();
		this.store.onRollback(() -> {
			this.crashReports.republish();
			this.versions.republish();
		});
		this.store.start(this.mesh, listeners.peers());
		this.pieces.start(this.mesh);
		this.crashDistributor.start(this.mesh);
		this.statementDistributor.start(this.mesh);
		this.permits.start(this.mesh);
		this.links.start(this.settings.vm(), this.mesh);
		this.streamOrigins.start(this.mesh);
		this.loop.scheduleWithFixedDelay(HOUSEKEEPING_INTERVAL_MS, this::housekeeping);
		this.loop.scheduleWithFixedDelay(ConnectionAdmission.CHECK_INTERVAL_MS,
				() -> this.admission.onCheck(this.loop.nowMs()));
	}

	private void housekeeping() {
		this.store.expire();
		this.coldStarts.expire(this.loop.nowMs());
		this.crashReports.refresh();
		this.statements.refresh();
		this.permits.expire();
		this.versions.refresh();
		this.streamOrigins.refresh();
		this.budgets.refresh();
		this.hedges.refresh();
		this.http.closeStale();
		this.links.http().closeStale();
		this.readiness.checkReadiness();
	}

	/**
	 * Apply new settings. Only the platform limits change at runtime; other settings take
	 * effect at the next start.
	 * @param changed the settings
	 */
	void reload(NodeSettings changed) {
		this.loop.execute(() -> {
			this.budgets.update(changed.platformLimits());
			this.hedges.update(changed.platformLimits());
			this.log.event(EventCode.SETTINGS_CHANGED, "taken", true);
		});
	}

	/**
	 * Log that the settings file could not be reloaded.
	 * @param problems the problems with the file
	 */
	void reloadFailed(List<String> problems) {
		this.loop.execute(() -> this.log.event(EventCode.SETTINGS_CHANGED, "taken", false, "problems", problems));
	}

	/** Start a graceful stop. */
	void drain() {
		this.loop.execute(() -> this.drainAction.run());
	}

	/**
	 * Schedule a task to run periodically on the event loop.
	 * @param delayMs the delay before the first run and between two runs, in milliseconds
	 * @param task the task
	 */
	void scheduleWithFixedDelay(long delayMs, Runnable task) {
		this.loop.scheduleWithFixedDelay(delayMs, task);
	}

	private void beginDrain(HttpServer callers) {
		this.drainAction = () -> {
		};
		this.log.event(EventCode.DRAIN_BEGAN, "busy", callers.busyConnections());
		this.readiness.drain();
		this.readiness.checkReadiness();
		this.mesh.drain();
		this.links.drain();
		this.pieces.handOver();
		this.streamOrigins.handOver();
		callers.beginDrain();
		long deadlineMs = this.loop.nowMs() + this.settings.platformLimits().graceMs() - KILL_RESERVE_MS;
		this.loop.schedule(ACCEPT_DURING_DRAIN_MS, () -> {
			callers.stopListening();
			callers.closeIdle();
			this.inFlight.refuseIfLaterThan(deadlineMs);
			awaitIdle(callers, deadlineMs);
		});
	}

	private void awaitIdle(HttpServer callers, long deadlineMs) {
		if (this.loop.nowMs() >= deadlineMs - REFUSE_NOT_SENT_MS) {
			this.inFlight.refuseNotSent();
			this.pieces.handBack();
		}
		boolean idle = callers.busyConnections() == 0 && this.pieces.idle() && this.links.idle();
		if (idle || this.loop.nowMs() >= deadlineMs) {
			this.inFlight.stop();
			this.log.event(EventCode.DRAIN_ENDED, "idle", idle);
			this.loop.schedule(DRAIN_CHECK_INTERVAL_MS, this.stopped::countDown);
			return;
		}
		this.loop.schedule(DRAIN_CHECK_INTERVAL_MS, () -> awaitIdle(callers, deadlineMs));
	}

	/**
	 * Wait until a graceful stop has completed.
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
	 * The listeners of the process.
	 *
	 * @param peers the address for other VMs
	 * @param readiness the server for readiness requests of the platform
	 * @param callers the server for callers
	 * @param metrics the server for metrics
	 */
	private record Listeners(Address peers, HttpServer readiness, HttpServer callers, HttpServer metrics) {
	}

}
