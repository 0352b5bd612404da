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
 * Reads the load reports of the upstreams that this VM uses.
 * <p>
 * Thread-safe. A poll that is still going on when the next is due makes that one be
 * skipped.
 *
 * @since 0.1
 */
public final class LoadPoller implements AutoCloseable {

	private static final int THREADS = 4;

	private static final int IDLE_CONNECTIONS = 1;

	private static final long TIMEOUT_MS = 500;

	private final UpstreamTable table;

	private final UpstreamRouter routing;

	private final TaskFailureHandler guard;

	private final HttpConnectionPool pool = HttpConnectionPool.create(IDLE_CONNECTIONS);

	private final AtomicBoolean polling = new AtomicBoolean();

	private final ExecutorService threads = Executors.newFixedThreadPool(THREADS, (task) -> {
		Thread thread = new Thread(task, "load-poller");
		thread.setDaemon(true);
		return thread;
	});

	private LoadPoller(UpstreamTable table, UpstreamRouter routing, TaskFailureHandler guard) {
		this.table = table;
		this.routing = routing;
		this.guard = guard;
	}

	/**
	 * Create a poller.
	 * @param table where reports go
	 * @param routing hears of upstreams that are leaving
	 * @param guard watches over background tasks
	 * @return the poller
	 */
	public static LoadPoller create(UpstreamTable table, UpstreamRouter routing, TaskFailureHandler guard) {
		return new LoadPoller(table, routing, guard);
	}

	/**
	 * Poll every upstream once. Called at each interval; does not block.
	 */
	public void pollAll() {
		if (!this.polling.compareAndSet(false, true)) {
			return;
		}
		List<Upstream> upstreams = this.table.upstreams();
		AtomicInteger left = new AtomicInteger(upstreams.size());
		if (upstreams.isEmpty()) {
			this.polling.set(false);
		}
		for (Upstream upstream : upstreams) {
			this.threads.execute(() -> {
				this.guard.wrap("load report", () -> poll(upstream)).run();
				if (left.decrementAndGet() == 0) {
					this.polling.set(false);
				}
			});
		}
	}

	private void poll(Upstream upstream) {
		long askedMs = Clocks.SYSTEM.monotonicMs();
		this.pool.call(upstream.address(), HttpCall.get("/load").build(), TIMEOUT_MS)
			.toOption()
			.filter(HttpReply::isSuccess)
			.forEach((reply) -> Json.read(reply.text()).forEach((report) -> take(upstream, report, askedMs)));
	}

	private void take(Upstream upstream, JsonNode report, long askedMs) {
		this.table.onReport(upstream.id(), report.path("running").asInt() + report.path("waiting").asInt(), askedMs);
		if (report.path("state").asText().equals("leaving")) {
			this.routing.onDraining(upstream.id());
		}
	}

	@Override
	public void close() {
		this.threads.shutdownNow();
		this.pool.close();
	}

}
