package org.tallycart.node.piece;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.netty.channel.embedded.EmbeddedChannel;
import org.tallycart.core.pool.CallLimiter;
import org.tallycart.core.pool.PieceId;
import org.tallycart.core.pool.PieceJob;
import org.tallycart.core.pool.PieceOutcome;
import org.tallycart.core.serving.CallerLimits;
import org.tallycart.core.serving.PoolSpec;
import org.tallycart.core.serving.ServiceSpec;
import org.tallycart.core.serving.ServingConfig;
import org.tallycart.core.upstream.UpstreamDirectory;
import org.tallycart.http.event.HeldBytes;
import org.tallycart.http.event.HttpClient;
import org.tallycart.http.event.MessageLimits;
import org.tallycart.http.event.ReceiveLimits;
import org.tallycart.node.EventLoop;
import org.tallycart.node.log.NodeLog;
import org.tallycart.node.metrics.NodeMetrics;
import org.tallycart.node.store.ActiveConfig;
import org.tallycart.runtime.process.TaskFailureHandler;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Tests for {@link PoolDrivers}.
 */
public class PoolDriversTests {

	private static final String POOL = "pool";

	private static final PoolSpec SPEC = new PoolSpec(1, 2, 4, 200, 10, 1_000_000, 4_000);

	/** Guards against failing pieces before the list of workers is loaded. */
	@Test
	void piecesStayPendingUntilWorkersAreKnown() {
		EmbeddedChannel channel = new EmbeddedChannel();
		EventLoop loop = new EventLoop(channel.eventLoop(), TaskFailureHandler.install((code, detail) -> {
			throw new IllegalStateException(detail);
		}), () -> 0);
		NodeLog log = new NodeLog(() -> 0);
		UpstreamDirectory directory = new UpstreamDirectory();
		HttpClient http = HttpClient.create(channel.eventLoop(), () -> 0,
				new ReceiveLimits(MessageLimits.builder().build(), new HeldBytes(1 << 20)));
		ResultReleaser releaser = new ResultReleaser(http, loop, directory);
		PoolDrivers drivers = new PoolDrivers(
				new PoolContext(http, loop, log, releaser, null, null, CallLimiter.NONE, new NodeMetrics()),
				config(log), directory);
		List<PieceOutcome> outcomes = new ArrayList<>();
		PieceJob job = PieceJob.builder(new PieceId("r", 0, 0), POOL)
			.source("k", List.of())
			.dueBy(3_000, 5_000)
			.build();
		drivers.driver(POOL).orElseThrow().submit(job, (id, outcome) -> outcomes.add(outcome));
		channel.runPendingTasks();
		assertEquals(outcomes, List.of());
		directory.replace(List.of(), 0);
		drivers.refresh();
		channel.runPendingTasks();
		assertEquals(outcomes.stream().map(PieceOutcome::status).toList(), List.of(PieceOutcome.Status.NO_WORKER));
		channel.close();
	}

	private static ActiveConfig config(NodeLog log) {
		ActiveConfig config = new ActiveConfig(log);
		ServiceSpec service = new ServiceSpec(POOL, 10, Optional.of(SPEC), false, 0);
		config.offer(new ServingConfig(1, List.of(), Map.of(POOL, service), CallerLimits.DEFAULTS, Map.of(), false));
		return config;
	}

}
