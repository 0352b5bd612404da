package org.tallycart.core.attempt;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;

import org.tallycart.core.ini.Address;
import org.tallycart.core.serving.LoadReport;
import org.tallycart.core.serving.UpstreamEntry;

/**
 * A simulated upstream, which runs up to a number of requests at a time.
 * <p>
 * Invariants: it does nothing while it is silent, what it was about to do follows
 * afterwards, and what was scheduled before a crash does not happen. Not thread-safe.
 */
final class SimulatedUpstream {

	/** Time until a connection to an upstream that is gone fails, in milliseconds. */
	static final long CONNECT_TIMEOUT_MS = 300;

	private static final int QUEUE_PER_SLOT = 2;

	static final long LATENCY_MS = 2;

	private static final long PREFILL_MS = 80;

	private static final long EVENT_INTERVAL_MS = 150;

	private static final long PLAIN_MS = 60;

	private static final long UNLIST_MS = 3_000;

	private final SilentUpstreamsSimulation fleet;

	private final String service;

	final String id;

	private final int number;

	private final int slots;

	private final Set<SimulatedAttempt> connected = new LinkedHashSet<>();

	private final Set<SimulatedAttempt> running = new LinkedHashSet<>();

	private final Deque<SimulatedAttempt> waiting = new ArrayDeque<>();

	private long silentUntilMs;

	long startedMs = 1;

	// Counts the crashes: what was scheduled before one does not happen.
	private int incarnation;

	private boolean down;

	boolean gone;

	boolean failed;

	/** Number of attempts that were sent to this upstream. */
	int arrivals;

	SimulatedUpstream(SilentUpstreamsSimulation fleet, String service, int number, int slots) {
		this.fleet = fleet;
		this.service = service;
		this.slots = slots;
		this.id = service + "-" + number;
		this.number = number;
	}

	UpstreamEntry entry() {
		return UpstreamEntry.builder(this.id, this.service)
			.startedMs(OptionalLong.of(this.startedMs))
			.softwareVersion("v1")
			.location(new Address("10.0.0." + this.number, 80), "d" + this.number % SilentUpstreamsSimulation.DOMAINS)
			.slots(this.slots)
			.build();
	}

	void silence(long ms) {
		this.silentUntilMs = Math.max(this.silentUntilMs, now() + ms);
	}

	private boolean isSilent() {
		return now() < this.silentUntilMs;
	}

	private long now() {
		return this.fleet.clock.nowMs();
	}

	void crash() {
		if (this.gone || this.down) {
			return;
		}
		this.failed = true;
		this.down = true;
		this.incarnation++;
		this.silentUntilMs = 0;
		List<SimulatedAttempt> cut = new ArrayList<>(this.connected);
		this.connected.clear();
		this.running.clear();
		this.waiting.clear();
		cut.forEach((attempt) -> this.fleet.clock.after(LATENCY_MS, attempt::onBroken));
		this.fleet.clock.after(SilentUpstreamsSimulation.RESTART_MS, () -> {
			this.down = false;
			this.startedMs = now();
			this.fleet.vms.forEach((vm) -> vm.updateList((directory) -> {
				if (!this.gone) {
					directory.put(entry(), now());
				}
			}));
		});
	}

	void vanish() {
		if (this.gone || this.down) {
			return;
		}
		this.failed = true;
		this.gone = true;
		this.incarnation++;
		this.connected.forEach((attempt) -> attempt.onUpstreamGone(false));
		this.fleet.clock.after(UNLIST_MS,
				() -> this.fleet.vms.forEach((vm) -> vm.updateList((directory) -> directory.remove(this.id, now()))));
	}

	// Does what is due, once the upstream is not silent.
	private void whenAwake(Runnable action) {
		int due = this.incarnation;
		if (isSilent()) {
			this.fleet.clock.after(this.silentUntilMs - now(), () -> {
				if (due == this.incarnation) {
					whenAwake(action);
				}
			});
		}
		else {
			action.run();
		}
	}

	void work(long ms, Runnable action) {
		int due = this.incarnation;
		this.fleet.clock.after(ms, () -> {
			if (due == this.incarnation) {
				whenAwake(action);
			}
		});
	}

	void connect(SimulatedAttempt attempt) {
		this.arrivals++;
		boolean pooled = this.fleet.random.nextBoolean();
		// A restarted upstream listens on another port.
		boolean refused = this.down || attempt.startedMs != this.startedMs;
		if (refused || (this.gone && !pooled)) {
			this.fleet.clock.after(refused ? LATENCY_MS : CONNECT_TIMEOUT_MS, attempt::onNotConnected);
			return;
		}
		this.connected.add(attempt);
		attempt.request.onReached(this.service);
		if (this.gone) {
			attempt.onUpstreamGone(true);
		}
		else {
			work(LATENCY_MS, () -> admit(attempt));
		}
	}

	private void admit(SimulatedAttempt attempt) {
		if (attempt.ended) {
			return;
		}
		boolean full = this.running.size() >= this.slots && this.waiting.size() >= this.slots * QUEUE_PER_SLOT;
		boolean unwilling = this.fleet.random.nextDouble() < this.fleet.rejectedShare;
		if (full || unwilling) {
			this.connected.remove(attempt);
			attempt.request.touchedByRejection |= !full;
			this.fleet.clock.after(LATENCY_MS, attempt::onRejected);
			return;
		}
		this.waiting.add(attempt);
		startWaiting();
	}

	private void startWaiting() {
		while (this.running.size() < this.slots && !this.waiting.isEmpty()) {
			SimulatedAttempt attempt = this.waiting.poll();
			this.running.add(attempt);
			attempt.request.ran = true;
			if (attempt.request.stream) {
				LoadReport load = load();
				this.fleet.clock.after(LATENCY_MS, () -> attempt.onHead(load));
				work(PREFILL_MS, () -> sendEvent(attempt, attempt.fromEvent + 1));
			}
			else {
				work(PLAIN_MS, () -> {
					end(attempt);
					LoadReport load = load();
					this.fleet.clock.after(LATENCY_MS, () -> attempt.onReply(load));
				});
			}
		}
	}

	private LoadReport load() {
		return new LoadReport(this.running.size(), this.waiting.size(), this.slots);
	}

	private void sendEvent(SimulatedAttempt attempt, int event) {
		if (!this.running.contains(attempt)) {
			return;
		}
		this.fleet.clock.after(LATENCY_MS, () -> attempt.onEvent(event));
		if (event < SimulatedRequest.EVENTS) {
			work(EVENT_INTERVAL_MS, () -> sendEvent(attempt, event + 1));
		}
		else {
			end(attempt);
		}
	}

	private void end(SimulatedAttempt attempt) {
		this.connected.remove(attempt);
		this.running.remove(attempt);
		startWaiting();
	}

	void onClosed(SimulatedAttempt attempt) {
		// A request that is read only after the silence runs although it is
		// cancelled.
		attempt.request.ran |= isSilent();
		this.connected.remove(attempt);
		work(LATENCY_MS, () -> {
			this.waiting.remove(attempt);
			end(attempt);
		});
	}

}
