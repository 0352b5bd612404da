package org.tallycart.entry.stage;

import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;
import org.tallycart.core.declaration.Upstream;
import org.tallycart.core.routing.UpstreamTable;
import org.tallycart.http.HttpCall;
import org.tallycart.http.HttpConnectionPool;
import org.tallycart.http.HttpReply;
import org.tallycart.runtime.process.Clocks;
import org.tallycart.runtime.process.TaskFailureHandler;

/**
 * Polls the load reports of the upstreams that this VM uses.
 * <p>
 * Thread-safe. A poll is skipped while the previous one is still running.
 *
 * @since 0.1
 */
public final class LoadPoller implements AutoCloseable {

	private static final int THREADS = 4;

	private static final int IDLE_CONNECTIONS = 1;

	private static final long TIMEOUT_MS = 500;

	private final UpstreamTable table;

	private final UpstreamRouter router;

	private final TaskFailureHandler failureHandler;

	private final HttpConnectionPool pool = HttpConnectionPool.create(IDLE_CONNECTIONS);

	private final AtomicBoolean polling = new AtomicBoolean();

	private final ExecutorService threads = Executors.newFixedThreadPool(THREADS, (task) -> {
		Thread thread = new Thread(task, "load-poller");
		thread.setDaemon(true);
		return thread;
	});

	private LoadPoller(UpstreamTable table, UpstreamRouter router, TaskFailureHandler failureHandler) {
		this.table = table;
		this.router = router;
		this.failureHandler = failureHandler;
	}

	/**
	 * Create a poller.
	 * @param table receives the reports
	 * @param router is notified of upstreams that are draining
	 * @param failureHandler handles failures of background tasks
	 * @return the poller
	 */
	public static LoadPoller create(UpstreamTable table, UpstreamRouter router, TaskFailureHandler failureHandler) {
		return new LoadPoller(table, router, failureHandler);
	}

	/**
	 * Poll every upstream once. Does not block; called periodically.
	 */
	public void pollAll() {
		if (!this.polling.compareAndSet(false, true)) {
			return;
		}
		List<Upstream> upstreams = this.table.upstreams();
		AtomicInteger remaining = new AtomicInteger(upstreams.size());
		if (upstreams.isEmpty()) {
			this.polling.set(false);
		}
		for (Upstream upstream : upstreams) {
			this.threads.execute(() -> {
				this.failureHandler.wrap("load report", () -> poll(upstream)).run();
				if (remaining.decrementAndGet() == 0) {
					this.polling.set(false);
				}
			});
		}
	}

	private void poll(Upstream upstream) {
		long requestedMs = Clocks.SYSTEM.monotonicMs();
		this.pool.call(upstream.address(), HttpCall.get("/load").build(), TIMEOUT_MS)
			.toOption()
			.filter(HttpReply::isSuccess)
			.forEach((reply) -> Json.read(reply.text()).forEach((report) -> onReport(upstream, report, requestedMs)));
	}

	private void onReport(Upstream upstream, JsonNode report, long requestedMs) {
		this.table.onReport(upstream.id(), report.path("running").asInt() + report.path("waiting").asInt(),
				requestedMs);
		if (report.path("state").asText().equals("leaving")) {
			this.router.onDraining(upstream.id());
		}
	}

	@Override
	public void close() {
		this.threads.shutdownNow();
		this.pool.close();
	}

}
