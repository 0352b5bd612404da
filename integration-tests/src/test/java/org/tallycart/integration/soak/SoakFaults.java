package org.tallycart.integration.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.tallycart.platform.standin.UpstreamStandin;
import org.tallycart.standin.FaultProxy;
import org.tallycart.testbed.ManagedProcess;

/**
 * A seeded series of faults, which overlap. Each is undone after a while.
 * <p>
 * Not thread-safe.
 */
final class SoakFaults implements AutoCloseable {

	private static final int MAX_GAP_MS = 500;

	private static final int LEAST_LENGTH_MS = 200;

	private static final int MAX_LENGTH_MS = 2_500;

	private static final int MAX_DELAY_MS = 150;

	/** With one fault in this many an upstream also names a limit. */
	private static final int LIMIT_SHARE = 5;

	/** With one fault in this many an upstream also asks for rest, or leaves. */
	private static final int ABSENCE_SHARE = 5;

	/** With one fault in this many the store comes back from a copy. */
	private static final int RETURN_SHARE = 6;

	private static final int LEAST_REWRITE_MS = 100;

	private static final int MAX_REWRITE_MS = 1_900;

	/** Largest limit, in requests a second: a third of what an upstream gets. */
	private static final int MAX_LIMIT = 5;

	private final SoakFleet fleet;

	private final Violations violations;

	private final Random random;

	// Limits and the store's returns have a source of their own, so that a seed's other
	// faults stay as they are.
	private final Random limits;

	// The same for upstreams that rest or leave.
	private final Random absences;

	private final ScheduledExecutorService undoing = Executors.newScheduledThreadPool(4);

	private final List<Future<?>> undone = new ArrayList<>();

	private volatile boolean returning;

	SoakFaults(SoakFleet fleet, Violations violations, long seed) {
		this.fleet = fleet;
		this.violations = violations;
		this.random = new Random(seed);
		this.limits = new Random(~seed);
		this.absences = new Random(Long.reverse(seed));
	}

	/**
	 * Do harm for a while, and undo all of it.
	 * @param ms for how long new faults begin, in milliseconds
	 */
	void run(long ms) throws Exception {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
		while (System.nanoTime() < end) {
			next();
			if (this.limits.nextInt(LIMIT_SHARE) == 0) {
				nameLimit();
			}
			if (this.absences.nextInt(ABSENCE_SHARE) == 0) {
				restOrLeave();
			}
			if (this.limits.nextInt(RETURN_SHARE) == 0) {
				returnOfStore();
			}
			SoakCallers.pause(this.random.nextInt(MAX_GAP_MS));
		}
		for (Future<?> each : this.undone) {
			each.get();
		}
	}

	private <T> T pick(List<T> from) {
		return from.get(this.random.nextInt(from.size()));
	}

	private void next() throws IOException {
		SoakNode node = pick(this.fleet.nodes());
		String upstream = pick(this.fleet.upstreamIds());
		switch (this.random.nextInt(15)) {
			case 0 -> kill(node);
			case 1 -> freeze(node);
			case 2 -> stop(node);
			case 3 -> harm("store path of " + node.vm(), node.store());
			case 4 -> harm("path of " + upstream, this.fleet.upstreamPath(upstream));
			case 5, 6 -> harm("a path between VMs", pick(this.fleet.peerPaths()));
			case 7, 8, 9 -> misbehave(upstream);
			case 10 -> this.fleet.upstreamPath(upstream).closeConnections();
			case 11 -> storeOutage();
			case 12 -> lapse(upstream);
			case 13 -> {
				this.violations.note("version " + this.fleet.changeConfig());
				if (this.random.nextBoolean()) {
					this.fleet.store().forgetHistory();
				}
			}
			default -> changeSettings(node);
		}
	}

	private void nameLimit() {
		List<String> ids = this.fleet.upstreamIds();
		String upstream = ids.get(this.limits.nextInt(ids.size()));
		int perSecond = 1 + this.limits.nextInt(MAX_LIMIT);
		this.violations.note(upstream + " names a limit of " + perSecond);
		this.fleet.upstream(upstream).stateLimit(String.valueOf(perSecond));
		undoAfter(LEAST_LENGTH_MS + this.limits.nextInt(MAX_LENGTH_MS),
				() -> this.fleet.upstream(upstream).clearLimit());
	}

	private void restOrLeave() {
		List<String> ids = this.fleet.upstreamIds();
		String upstream = ids.get(this.absences.nextInt(ids.size()));
		int ms = LEAST_LENGTH_MS + this.absences.nextInt(MAX_LENGTH_MS);
		if (this.absences.nextBoolean() && this.fleet.mayLeave(upstream)) {
			this.violations.note(upstream + " leaves and says so in its replies");
			this.fleet.leave(upstream, ms);
			return;
		}
		this.violations.note(upstream + " asks for rest");
		this.fleet.upstream(upstream).startBackoff(String.valueOf(ms / 1_000.0));
		undoAfter(ms, () -> this.fleet.upstream(upstream).endBackoff());
	}

	// What operators and upstreams wrote comes again a while after the store's return.
	private void returnOfStore() {
		if (this.returning) {
			return;
		}
		this.returning = true;
		this.violations.note("a copy of the store is kept");
		this.fleet.store().saveBackup();
		int after = LEAST_LENGTH_MS + this.limits.nextInt(MAX_LENGTH_MS);
		undoAfter(after, () -> {
			this.violations.note("the store comes back from it");
			this.fleet.store().restoreBackup();
		});
		undoAfter(after + LEAST_REWRITE_MS + this.limits.nextInt(MAX_REWRITE_MS), () -> {
			this.fleet.writeAgain();
			this.returning = false;
		});
	}

	private void undoLater(UndoAction undo) {
		undoAfter(LEAST_LENGTH_MS + this.random.nextInt(MAX_LENGTH_MS), undo);
	}

	private void undoAfter(int after, UndoAction undo) {
		this.undone.add(this.undoing.schedule(() -> {
			undo.run();
			return null;
		}, after, TimeUnit.MILLISECONDS));
	}

	private void kill(SoakNode node) {
		this.violations.note("kill " + node.incarnation());
		node.process().kill();
		undoLater(node::restart);
	}

	private void freeze(SoakNode node) {
		ManagedProcess process = node.process();
		this.violations.note("freeze " + node.incarnation());
		process.suspend();
		undoLater(process::resume);
	}

	private void stop(SoakNode node) {
		ManagedProcess process = node.process();
		this.violations.note("stop " + node.incarnation());
		process.requestStop();
		undoLater(() -> {
			process.awaitExit();
			node.restart();
		});
	}

	private void harm(String name, FaultProxy path) {
		FaultProxy.Direction direction = this.random.nextBoolean() ? path.towardsTarget() : path.towardsCaller();
		int how = this.random.nextInt(5);
		this.violations.note("harm " + how + " to " + name);
		switch (how) {
			case 0 -> path.closeConnections();
			case 1 -> {
				path.closeConnections();
				path.setRefusing(true);
			}
			case 2 -> direction.setDelayMs(this.random.nextInt(MAX_DELAY_MS));
			case 3 -> direction.setFrozen(true);
			default -> direction.setDropping(true);
		}
		undoLater(() -> {
			// Bytes that were dropped never come, so the connection cannot go on.
			if (how >= 3) {
				path.closeConnections();
			}
			path.setRefusing(false);
			direction.setDelayMs(0);
			direction.setFrozen(false);
			direction.setDropping(false);
		});
	}

	private void misbehave(String upstream) {
		UpstreamStandin.Fault fault = pick(List.of(UpstreamStandin.Fault.values()));
		this.violations.note(upstream + " " + fault);
		this.fleet.upstream(upstream).setFault(fault);
		undoLater(() -> this.fleet.upstream(upstream).setFault(UpstreamStandin.Fault.NONE));
	}

	private void storeOutage() {
		boolean silent = this.random.nextBoolean();
		this.violations.note("store " + (silent ? "silent" : "down"));
		if (silent) {
			this.fleet.store().setUnresponsive(true);
		}
		else {
			this.fleet.store().setDown(true);
		}
		undoLater(() -> {
			this.fleet.store().setUnresponsive(false);
			this.fleet.store().setDown(false);
		});
	}

	private void lapse(String upstream) {
		this.violations.note("entry of " + upstream + " lapses");
		if (this.fleet.store().names("servers").contains(upstream)) {
			this.fleet.store().remove("servers", upstream);
		}
		undoLater(() -> this.fleet.list(upstream, "ready"));
	}

	private void changeSettings(SoakNode node) throws IOException {
		this.violations.note("settings of " + node.vm());
		node.writeSettings(20 + this.random.nextInt(60));
	}

	@Override
	public void close() {
		this.undoing.shutdownNow();
	}

	/** Undoes a fault. */
	@FunctionalInterface
	private interface UndoAction {

		void run() throws IOException;

	}

}
