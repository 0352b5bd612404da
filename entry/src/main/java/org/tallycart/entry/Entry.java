package org.tallycart.entry;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.tallycart.core.routing.RetryBudget;
import org.tallycart.core.routing.UpstreamTable;
import org.tallycart.core.time.HybridClock;
import org.tallycart.entry.claim.ClaimClient;
import org.tallycart.entry.stage.LoadPoller;
import org.tallycart.entry.stage.StageContext;
import org.tallycart.entry.stage.StageLatencyEstimator;
import org.tallycart.entry.stage.StageRunner;
import org.tallycart.entry.stage.UpstreamRouter;
import org.tallycart.entry.state.EntryState;
import org.tallycart.entry.state.StewardClient;
import org.tallycart.http.BlockingHttpServer;
import org.tallycart.http.HttpConnectionPool;
import org.tallycart.runtime.event.EventCode;
import org.tallycart.runtime.event.EventLog;
import org.tallycart.runtime.process.Clocks;
import org.tallycart.runtime.process.Daemon;
import org.tallycart.runtime.process.TaskFailureHandler;
import org.tallycart.runtime.status.StatusServer;
import org.tallycart.wire.WireIdentity;
import org.tallycart.wire.WireTransport;

/**
 * Entry daemon: creates, starts and stops the components of the process.
 * <p>
 * Thread-safe.
 *
 * @since 0.1
 */
final class Entry implements Daemon {

	private static final int MAX_EVENTS = 50_000;

	private static final int MAX_IDLE_CONNECTIONS = 8;

	private static final long STEWARD_CHECK_INTERVAL_MS = 250;

	private static final long DEMAND_REPORT_INTERVAL_MS = 500;

	private static final double INITIAL_RETRIES = 5;

	private static final double MAX_SAVED_RETRIES = 20;

	private static final int ATTEMPTS_PER_CONNECTION = 2;

	private static final long IDLE_THREAD_SECONDS = 10;

	private static final ObjectMapper JSON = new ObjectMapper();

	private final EntrySettings settings;

	private final EventLog events;

	private final TaskFailureHandler failureHandler;

	private final MetricRegistry metrics = new MetricRegistry();

	private final WireTransport transport;

	private final StewardClient steward;

	private final UpstreamTable table;

	private final LoadPoller poller;

	private final HttpConnectionPool pool = HttpConnectionPool.create(MAX_IDLE_CONNECTIONS);

	private final ThreadPoolExecutor attemptExecutor;

	private final WorkspaceLimiter limiter = new WorkspaceLimiter();

	private final RequestRunner runner;

	private final ScheduledExecutorService ticker = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread thread = new Thread(task, "ticker");
		thread.setDaemon(true);
		return thread;
	});

	private volatile boolean draining;

	private BlockingHttpServer callers;

	private StatusServer status;

	@SuppressWarnings("NullAway.Init")
	private Entry(EntrySettings settings) {
		this.settings = settings;
		String vm = settings.vm().id();
		HybridClock clock = new HybridClock();
		this.events = EventLog.create("entry@" + vm, MAX_EVENTS, clock, Clocks.SYSTEM);
		this.failureHandler = TaskFailureHandler.install(this.events::emit);
		this.transport = WireTransport
			.create(new WireIdentity(vm, Clocks.SYSTEM.wallMs(), clock, Clocks.SYSTEM::wallMs));
		this.table = UpstreamTable.create(vm, settings.vm().domain(), settings.subset());
		this.steward = StewardClient.create(this.transport, settings.steward(), this.events, this.failureHandler,
				this::onState);
		UpstreamRouter router = UpstreamRouter.create(this.table, this.events, this.steward::reportDraining);
		this.poller = LoadPoller.create(this.table, router, this.failureHandler);
		this.attemptExecutor = new ThreadPoolExecutor(0, settings.maxConnections() * ATTEMPTS_PER_CONNECTION,
				IDLE_THREAD_SECONDS, TimeUnit.SECONDS, new SynchronousQueue<>(), (task) -> {
					Thread thread = new Thread(task, "attempt");
					thread.setDaemon(true);
					return thread;
				});
		StageContext stageContext = new StageContext(router, new StageLatencyEstimator(), this.pool,
				RetryBudget.create(settings.retryShare(), INITIAL_RETRIES, MAX_SAVED_RETRIES), this.events,
				this.attemptExecutor);
		ClaimClient claims = ClaimClient.create(vm, this.transport, this.steward::state, settings.window(),
				this.events);
		this.runner = new RequestRunner(this.steward::state, StageRunner.create(stageContext, settings.overcommit()),
				claims, this.limiter, this.events, this.metrics);
	}

	static Either<String, Daemon> start(EntrySettings settings) {
		Entry entry = new Entry(settings);
		return BlockingHttpServer
			.start(settings.listen(), "caller", settings.maxConnections(),
					new CallerHandler(entry.runner, entry.failureHandler))
			.flatMap((callers) -> {
				entry.callers = callers;
				return StatusServer.start(settings.statusListen(), entry.events, entry.metrics, entry::isReady,
						entry::statusJson);
			})
			.map((status) -> {
				entry.status = status;
				entry.startTasks();
				return entry;
			});
	}

	private void startTasks() {
		this.metrics.register("callers.connections", (Gauge<Integer>) this.callers::openCount);
		schedule(STEWARD_CHECK_INTERVAL_MS, "steward link", this.steward::ensureConnected);
		schedule(this.settings.pollMs(), "load reports", this.poller::pollAll);
		schedule(DEMAND_REPORT_INTERVAL_MS, "limits", () -> this.limiter.reportDemand(this.steward));
		this.events.emit(EventCode.PROCESS_STARTED, listeningPorts());
	}

	private void schedule(long intervalMs, String name, Runnable task) {
		this.ticker.scheduleWithFixedDelay(this.failureHandler.wrap(name, task), 0, intervalMs, TimeUnit.MILLISECONDS);
	}

	private void onState(EntryState state) {
		this.table.update(state.declarations().services().values());
		state.draining().forEach((upstream) -> {
			if (this.table.markDraining(upstream)) {
				this.events.emit(EventCode.UPSTREAM_LEAVING, upstream + " by the steward");
			}
		});
	}

	private boolean isReady() {
		return !this.draining && this.steward.state().configVersion() > 0;
	}

	private ObjectNode statusJson() {
		EntryState state = this.steward.state();
		return JSON.createObjectNode()
			.put("vm", this.settings.vm().id())
			.put("domain", this.settings.vm().domain())
			.put("ready", isReady())
			.put("draining", this.draining)
			.put("config_version", state.configVersion())
			.put("slots_version", state.slotsVersion())
			.put("vms_version", state.vms().version())
			.put("active_vms", state.activeVms())
			.put("steward_connected", this.steward.isConnected())
			.put("connections", this.callers.openCount());
	}

	@Override
	public String listeningPorts() {
		return "callers=" + this.callers.port() + " status=" + this.status.port();
	}

	@Override
	public void stop() {
		this.draining = true;
		this.events.emit(EventCode.DRAIN_BEGAN, "");
		this.callers.beginDrain();
		try {
			Thread.sleep(this.settings.drainLeadMs());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		boolean drained = this.callers.drain(this.settings.drainMs());
		this.events.emit(EventCode.DRAIN_ENDED, "clean=" + drained);
		this.callers.close();
		this.ticker.shutdownNow();
		this.poller.close();
		this.attemptExecutor.shutdownNow();
		this.pool.close();
		this.steward.close();
		this.status.close();
		this.transport.close();
	}

}
