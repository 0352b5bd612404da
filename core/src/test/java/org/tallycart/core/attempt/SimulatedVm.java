package org.tallycart.core.attempt;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.tallycart.core.serving.UpstreamEntry;
import org.tallycart.core.upstream.UpstreamDirectory;
import org.tallycart.core.upstream.WindowedRetryBudget;

/**
 * A simulated VM and its callers.
 * <p>
 * Invariants: it has a new directory and new budgets after each start, and no request is
 * in flight at the end of a stop. Not thread-safe.
 */
final class SimulatedVm {

	static final long STREAM_INTERVAL_MS = 500;

	static final long PLAIN_INTERVAL_MS = 500;

	private static final int MAX_LIST_LAG_MS = 400;

	/** Time for which a stopping VM accepts requests, in milliseconds. */
	private static final long ACCEPT_DURING_STOP_MS = 2_300;

	/** Time from the beginning of a stop to its end, in milliseconds. */
	private static final long GRACE_MS = 7_400;

	/** Time before the end of a stop at which unsent requests are refused. */
	private static final long REFUSE_NOT_SENT_MS = 2_000;

	static final double RETRY_RATIO = 0.2;

	static final long RETRY_WINDOW_MS = 10_000;

	static final double RETRY_SLACK = 52;

	private final SilentUpstreamsSimulation fleet;

	final String name;

	final String domain;

	final Set<SimulatedRequest> inFlight = new LinkedHashSet<>();

	final Set<SimulatedAttempt> attempts = new LinkedHashSet<>();

	private final Map<String, Long> lastHeardMs = new HashMap<>();

	Map<String, WindowedRetryBudget> budgets = Map.of();

	UpstreamDirectory directory = new UpstreamDirectory();

	private boolean accepting;

	boolean refusing;

	boolean stopping;

	boolean hasStopped;

	SimulatedVm(SilentUpstreamsSimulation fleet, String name, String domain) {
		this.fleet = fleet;
		this.name = name;
		this.domain = domain;
	}

	private long now() {
		return this.fleet.clock.nowMs();
	}

	void start() {
		this.directory = new UpstreamDirectory();
		this.lastHeardMs.clear();
		// VMs run before there are calls.
		long startedMs = (now() > 0) ? now() : -RETRY_WINDOW_MS - 1;
		this.budgets = Map.of(SilentUpstreamsSimulation.ENGINE,
				new WindowedRetryBudget(RETRY_RATIO, RETRY_WINDOW_MS, RETRY_SLACK, startedMs),
				SilentUpstreamsSimulation.PLAIN,
				new WindowedRetryBudget(RETRY_RATIO, RETRY_WINDOW_MS, RETRY_SLACK, startedMs));
		List<UpstreamEntry> listed = new ArrayList<>();
		this.fleet.engines.stream()
			.filter((upstream) -> !upstream.gone)
			.forEach((upstream) -> listed.add(upstream.entry()));
		this.fleet.plainUpstreams.forEach((upstream) -> listed.add(upstream.entry()));
		this.directory.replace(listed, now());
		this.accepting = true;
		this.refusing = false;
		this.stopping = false;
	}

	void updateList(Consumer<UpstreamDirectory> change) {
		this.fleet.clock.after(this.fleet.random.nextInt(MAX_LIST_LAG_MS), () -> change.accept(this.directory));
	}

	void call(boolean stream) {
		if (!this.fleet.calling) {
			return;
		}
		this.fleet.clock.after(stream ? STREAM_INTERVAL_MS : PLAIN_INTERVAL_MS, () -> call(stream));
		if (this.accepting) {
			SimulatedRequest request = new SimulatedRequest(this.fleet, this, stream, this.fleet.limits);
			this.fleet.recorder.requests.add(request);
			this.inFlight.add(request);
			request.start();
		}
	}

	/** Stop with the grace time, and start again. */
	void stop() {
		if (this.stopping) {
			return;
		}
		this.stopping = true;
		this.hasStopped = true;
		long deadlineMs = now() + GRACE_MS;
		this.fleet.clock.after(ACCEPT_DURING_STOP_MS, () -> {
			this.accepting = false;
			awaitIdle(deadlineMs);
		});
	}

	private void awaitIdle(long deadlineMs) {
		if (now() >= deadlineMs - REFUSE_NOT_SENT_MS) {
			this.refusing = true;
			new ArrayList<>(this.inFlight).forEach(SimulatedRequest::refuseIfNotSent);
		}
		if (this.inFlight.isEmpty() || now() >= deadlineMs) {
			new ArrayList<>(this.inFlight).forEach(SimulatedRequest::stop);
			this.fleet.clock.after(SilentUpstreamsSimulation.RESTART_MS, this::start);
		}
		else {
			this.fleet.clock.after(50, () -> awaitIdle(deadlineMs));
		}
	}

	void onHeard(SimulatedAttempt attempt) {
		attempt.lastHeardMs = now();
		this.lastHeardMs.put(attempt.upstream.id, now());
	}

	// An attempt has waited too long, and nothing else has come from the upstream.
	boolean isWaitedFor(SimulatedUpstream upstream) {
		return this.attempts.stream()
			.anyMatch((attempt) -> attempt.upstream == upstream && now() - attempt.lastHeardMs > attempt.limitMs()
					&& this.lastHeardMs.getOrDefault(upstream.id, 0L) <= attempt.lastHeardMs);
	}

	void checkErrorRates() {
		Set<String> failed = new HashSet<>();
		this.fleet.engines.stream()
			.filter((upstream) -> upstream.failed)
			.forEach((upstream) -> failed.add(upstream.id));
		for (String service : List.of(SilentUpstreamsSimulation.ENGINE, SilentUpstreamsSimulation.PLAIN)) {
			this.directory.activeUpstreams(service)
				.stream()
				.filter((state) -> state.errorRate() > 0 && !failed.contains(state.entry().id()))
				.forEach((state) -> this.fleet.recorder.violations
					.add(this.name + " counts " + state.entry().id() + " as failed"));
		}
	}

}
