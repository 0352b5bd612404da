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
 * The running entry: puts the parts together, starts and stops them.
 * <p>
 * Thread-safe.
 *
 * @since 0.1
 */
final class Entry implements Daemon {

	private static final int EVENTS_KEPT = 50_000;

	private static final int IDLE_CONNECTIONS = 8;

	private static final long LINK_TICK_MS = 250;

	private static final long LIMITS_TICK_MS = 500;

	private static final double RETRIES_AT_START = 5;

	private static final double RETRIES_SAVED = 20;

	private static final int ATTEMPTS_PER_CONNECTION = 2;

	private static final long IDLE_THREAD_SECONDS = 10;

	private static final ObjectMapper JSON = new ObjectMapper();

	private final EntrySettings settings;

	private final EventLog events;

	private final TaskFailureHandler guard;

	private final MetricRegistry metrics = new MetricRegistry();

	private final WireTransport transport;

	private final StewardClient link;

	private final UpstreamTable table;

	private final LoadPoller poller;

	private final HttpConnectionPool pool = HttpConnectionPool.create(IDLE_CONNECTIONS);

	private final ThreadPoolExecutor attempts;

	private final WorkspaceLimiter limits = new WorkspaceLimiter();

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
		this.events = EventLog.create("entry@" + vm, EVENTS_KEPT, clock, Clocks.SYSTEM);
		this.guard = TaskFailureHandler.install(this.events::emit);
		this.transport = WireTransport
			.create(new WireIdentity(vm, Clocks.SYSTEM.wallMs(), clock, Clocks.SYSTEM::wallMs));
		this.table = UpstreamTable.create(vm, settings.vm().domain(), settings.subset());
		this.link = StewardClient.create(this.transport, settings.steward(), this.events, this.guard, this::adopt);
		UpstreamRouter routing = UpstreamRouter.create(this.table, this.events, this.link::reportDraining);
		this.poller = LoadPoller.create(this.table, routing, this.guard);
		this.attempts = new ThreadPoolExecutor(0, settings.maxConnections() * ATTEMPTS_PER_CONNECTION,
				IDLE_THREAD_SECONDS, TimeUnit.SECONDS, new SynchronousQueue<>(), (task) -> {
					Thread thread = new Thread(task, "attempt");
					thread.setDaemon(true);
					return thread;
				});
		StageContext tools = new StageContext(routing, new StageLatencyEstimator(), this.pool,
				RetryBudget.create(settings.retryShare(), RETRIES_AT_START, RETRIES_SAVED), this.events, this.attempts);
		ClaimClient claims = ClaimClient.create(vm, this.transport, this.link::state, settings.window(), this.events);
		this.runner = new RequestRunner(this.link::state, StageRunner.create(tools, settings.overcommit()), claims,
				this.limits, this.events, this.metrics);
	}

	static Either<String, Daemon> start(EntrySettings settings) {
		Entry entry = new Entry(settings);
		return BlockingHttpServer
			.start(settings.listen(), "caller", settings.maxConnections(), new CallerHandler(entry.runner, entry.guard))
			.flatMap((callers) -> {
				entry.callers = callers;
				return StatusServer.start(settings.statusListen(), entry.events, entry.metrics, entry::ready,
						entry::statusJson);
			})
			.map((status) -> {
				entry.status = status;
				entry.begin();
				return entry;
			});
	}

	private void begin() {
		this.metrics.register("callers.connections", (Gauge<Integer>) this.callers::openCount);
		every(LINK_TICK_MS, "steward link", this.link::ensureConnected);
		every(this.settings.pollMs(), "load reports", this.poller::pollAll);
		every(LIMITS_TICK_MS, "limits", () -> this.limits.reportDemand(this.link));
		this.events.emit(EventCode.PROCESS_STARTED, listeningPorts());
	}

	private void every(long intervalMs, String name, Runnable task) {
		this.ticker.scheduleWithFixedDelay(this.guard.wrap(name, task), 0, intervalMs, TimeUnit.MILLISECONDS);
	}

	private void adopt(EntryState state) {
		this.table.update(state.declarations().services().values());
		state.leaving().forEach((upstream) -> {
			if (this.table.markDraining(upstream)) {
				this.events.emit(EventCode.UPSTREAM_LEAVING, upstream + " by the steward");
			}
		});
	}

	private boolean ready() {
		return !this.draining && this.link.state().configVersion() > 0;
	}

	private ObjectNode statusJson() {
		EntryState state = this.link.state();
		return JSON.createObjectNode()
			.put("vm", this.settings.vm().id())
			.put("domain", this.settings.vm().domain())
			.put("ready", ready())
			.put("draining", this.draining)
			.put("config_version", state.configVersion())
			.put("slots_version", state.slotsVersion())
			.put("vms_version", state.vms().version())
			.put("active_vms", state.activeVms())
			.put("steward_connected", this.link.isConnected())
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
		boolean clean = this.callers.drain(this.settings.drainMs());
		this.events.emit(EventCode.DRAIN_ENDED, "clean=" + clean);
		this.callers.close();
		this.ticker.shutdownNow();
		this.poller.close();
		this.attempts.shutdownNow();
		this.pool.close();
		this.link.close();
		this.status.close();
		this.transport.close();
	}

}
