package org.tallycart.integration.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.tallycart.platform.standin.EndlessReplyProxy;
import org.tallycart.platform.standin.UpstreamStandin;
import org.tallycart.standin.FaultProxy;
import org.tallycart.testbed.ManagedProcess;

/**
 * Injects a seeded series of overlapping faults, and clears each after a random time.
 * <p>
 * Not thread-safe.
 */
final class SoakFaults implements AutoCloseable {

	private static final int MAX_GAP_MS = 500;

	/** More than VMs that stop at a time, each of which blocks a thread. */
	private static final int UNDO_THREADS = 8;

	private static final int MIN_DURATION_MS = 200;

	private static final int MAX_DURATION_MS = 2_500;

	private static final int MAX_DELAY_MS = 150;

	/** One of this many faults comes with a limit stated by an upstream. */
	private static final int LIMIT_INTERVAL = 5;

	/** One of this many faults comes with an upstream backing off or draining. */
	private static final int UNAVAILABILITY_INTERVAL = 5;

	/** One of this many faults comes with a restore of the store from a backup. */
	private static final int ROLLBACK_INTERVAL = 6;

	/** One of this many faults comes with an upstream whose replies are unframed. */
	private static final int UNFRAMED_INTERVAL = 3;

	/** One of this many faults comes with a store whose replies are unframed. */
	private static final int UNFRAMED_STORE_INTERVAL = 8;

	/** One of this many faults comes with VMs that lose their links to all upstreams. */
	private static final int LOST_LINKS_INTERVAL = 6;

	/** One of this many faults comes with upstreams of a service that fall silent. */
	private static final int SILENCE_INTERVAL = 4;

	/** One of this many faults comes with an upstream whose replies have no end. */
	private static final int ENDLESS_INTERVAL = 4;

	/** One of this many faults comes with objects of another writer with odd names. */
	private static final int ODD_NAMES_INTERVAL = 3;

	/** More than two pages of such objects. */
	private static final int MAX_ODD_NAMES = 8;

	private static final List<String> ODD_SUFFIXES = List.of("&", "&after=a", "+", " ", "#", "%", "%41", "?", ",", "\n",
			"\r\nX: y", "\u00e9", "\u0000", "/..");

	private static final List<EndlessReplyProxy.Kind> ENDLESS = Stream.of(EndlessReplyProxy.Kind.values())
		.filter((kind) -> !kind.hasEvents())
		.toList();

	private static final int MIN_SILENCE_MS = 300;

	private static final int MAX_SILENCE_MS = 2_500;

	/** One of this many faults comes with a VM that gets most new connections. */
	private static final int UNEVEN_CONNECTIONS_INTERVAL = 6;

	private static final List<UpstreamStandin.Fault> UNFRAMED = Stream.of(UpstreamStandin.Fault.values())
		.filter(UpstreamStandin.Fault::isUnframed)
		.toList();

	private static final List<UpstreamStandin.Fault> FRAMED = Stream.of(UpstreamStandin.Fault.values())
		.filter((fault) -> !fault.isUnframed())
		.toList();

	private static final int MIN_REWRITE_MS = 100;

	private static final int MAX_REWRITE_MS = 1_900;

	/** Highest stated limit, in requests per second; below the usual load. */
	private static final int MAX_LIMIT = 5;

	private final SoakFleet fleet;

	private final Violations violations;

	private final Random random;

	// Separate generators keep the sequences of the other faults of a seed unchanged.
	private final Random limitRandom;

	private final Random unavailabilityRandom;

	private final Random unframedRandom;

	private final Random linkRandom;

	private final Random connectionRandom;

	private final Random silenceRandom;

	private final Random endlessRandom;

	private final Random nameRandom;

	private final Set<SoakNode> withoutLinks = ConcurrentHashMap.newKeySet();

	private final ScheduledExecutorService undoExecutor = Executors.newScheduledThreadPool(UNDO_THREADS);

	private final List<Future<?>> undoTasks = new ArrayList<>();

	private volatile boolean rollbackInProgress;

	SoakFaults(SoakFleet fleet, Violations violations, long seed) {
		this.fleet = fleet;
		this.violations = violations;
		this.random = new Random(seed);
		this.limitRandom = new Random(~seed);
		this.unavailabilityRandom = new Random(Long.reverse(seed));
		this.unframedRandom = new Random(~Long.reverse(seed));
		this.linkRandom = new Random(Long.reverseBytes(seed));
		this.connectionRandom = new Random(~Long.reverseBytes(seed));
		this.silenceRandom = new Random(Long.rotateLeft(seed, Integer.SIZE));
		this.endlessRandom = new Random(~Long.rotateLeft(seed, Integer.SIZE));
		this.nameRandom = new Random(Long.rotateLeft(seed, Integer.SIZE / 2));
	}

	/**
	 * Inject faults for a time and wait until all are cleared.
	 * @param ms the time during which new faults begin, in milliseconds
	 */
	void run(long ms) throws Exception {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
		while (System.nanoTime() < end) {
			injectNext();
			if (this.limitRandom.nextInt(LIMIT_INTERVAL) == 0) {
				stateLimit();
			}
			if (this.unavailabilityRandom.nextInt(UNAVAILABILITY_INTERVAL) == 0) {
				makeUnavailable();
			}
			if (this.limitRandom.nextInt(ROLLBACK_INTERVAL) == 0) {
				rollBackStore();
			}
			if (this.unframedRandom.nextInt(UNFRAMED_INTERVAL) == 0) {
				replyUnframed();
			}
			if (this.unframedRandom.nextInt(UNFRAMED_STORE_INTERVAL) == 0) {
				replyUnframedFromStore();
			}
			if (this.linkRandom.nextInt(LOST_LINKS_INTERVAL) == 0) {
				loseLinks();
			}
			if (this.connectionRandom.nextInt(UNEVEN_CONNECTIONS_INTERVAL) == 0) {
				giveMostConnectionsToOneVm();
			}
			if (this.silenceRandom.nextInt(SILENCE_INTERVAL) == 0) {
				silence();
			}
			if (this.endlessRandom.nextInt(ENDLESS_INTERVAL) == 0) {
				replyEndlessly();
			}
			if (this.nameRandom.nextInt(ODD_NAMES_INTERVAL) == 0) {
				writeOddNames();
			}
			SoakCallers.pause(this.random.nextInt(MAX_GAP_MS));
		}
		for (Future<?> each : this.undoTasks) {
			each.get();
		}
	}

	private <T> T pick(List<T> from) {
		return from.get(this.random.nextInt(from.size()));
	}

	private void injectNext() throws IOException {
		SoakNode node = pick(this.fleet.nodes());
		String upstream = pick(this.fleet.upstreamIds());
		switch (this.random.nextInt(15)) {
			case 0 -> kill(node, this.random);
			case 1 -> freeze(node);
			case 2 -> stop(node, this.random);
			case 3 -> injectPathFault("store path of " + node.vm(), node.storePath());
			case 4 -> injectPathFault("path of " + upstream, this.fleet.upstreamPath(upstream));
			case 5, 6 -> injectPathFault("a path between VMs", pick(this.fleet.peerPaths()));
			case 7, 8, 9 -> injectUpstreamFault(upstream);
			case 10 -> this.fleet.upstreamPath(upstream).closeConnections();
			case 11 -> storeOutage();
			case 12 -> expireEntry(upstream);
			case 13 -> {
				this.violations.note("version " + this.fleet.changeConfig());
				if (this.random.nextBoolean()) {
					this.fleet.store().forgetHistory();
				}
			}
			default -> changeSettings(node);
		}
	}

	private void stateLimit() {
		List<String> ids = this.fleet.upstreamIds();
		String upstream = ids.get(this.limitRandom.nextInt(ids.size()));
		int perSecond = 1 + this.limitRandom.nextInt(MAX_LIMIT);
		this.violations.note(upstream + " states a limit of " + perSecond);
		this.fleet.upstream(upstream).stateLimit(String.valueOf(perSecond));
		undoAfter(MIN_DURATION_MS + this.limitRandom.nextInt(MAX_DURATION_MS),
				() -> this.fleet.upstream(upstream).clearLimit());
	}

	private void makeUnavailable() {
		List<String> ids = this.fleet.upstreamIds();
		String upstream = ids.get(this.unavailabilityRandom.nextInt(ids.size()));
		int ms = MIN_DURATION_MS + this.unavailabilityRandom.nextInt(MAX_DURATION_MS);
		if (this.unavailabilityRandom.nextBoolean() && this.fleet.mayDrain(upstream)) {
			this.violations.note(upstream + " states that it is draining");
			this.fleet.drain(upstream, ms);
			return;
		}
		this.violations.note(upstream + " requests a backoff");
		this.fleet.upstream(upstream).startBackoff(String.valueOf(ms / 1_000.0));
		undoAfter(ms, () -> this.fleet.upstream(upstream).endBackoff());
	}

	// Cuts one VM to all VMs off from all upstreams.
	private void loseLinks() {
		List<SoakNode> nodes = new ArrayList<>(this.fleet.nodes());
		nodes.removeAll(this.withoutLinks);
		if (nodes.isEmpty()) {
			return;
		}
		Collections.shuffle(nodes, this.linkRandom);
		FaultProxy.Cut[] kinds = FaultProxy.Cut.values();
		FaultProxy.Cut kind = kinds[this.linkRandom.nextInt(kinds.length)];
		int durationMs = MIN_DURATION_MS + this.linkRandom.nextInt(MAX_DURATION_MS);
		for (SoakNode node : nodes.subList(0, 1 + this.linkRandom.nextInt(nodes.size()))) {
			this.violations.note(node.vm() + " loses its links, " + kind);
			this.withoutLinks.add(node);
			this.fleet.cut(node, kind);
			undoAfter(durationMs, () -> {
				this.fleet.heal(node);
				this.withoutLinks.remove(node);
			});
		}
	}

	private void giveMostConnectionsToOneVm() {
		List<SoakNode> nodes = this.fleet.nodes();
		SoakNode node = nodes.get(this.connectionRandom.nextInt(nodes.size()));
		this.violations.note(node.vm() + " gets most new connections");
		this.fleet.giveMostConnectionsTo(Optional.of(node));
		undoAfter(MIN_DURATION_MS + this.connectionRandom.nextInt(MAX_DURATION_MS),
				() -> this.fleet.giveMostConnectionsTo(Optional.empty()));
	}

	// Some or all upstreams of one service fall silent, some of the time beside a change
	// of the configuration, a stop or a kill.
	private void silence() {
		List<String> services = List.of("plain", "engine", "pool");
		String service = services.get(this.silenceRandom.nextInt(services.size()));
		List<String> ids = new ArrayList<>(this.fleet.runningUpstreams(service));
		Collections.shuffle(ids, this.silenceRandom);
		boolean all = this.silenceRandom.nextBoolean() || ids.isEmpty();
		List<String> silent = all ? ids : ids.subList(0, 1 + this.silenceRandom.nextInt(ids.size()));
		int durationMs = MIN_SILENCE_MS + this.silenceRandom.nextInt(MAX_SILENCE_MS - MIN_SILENCE_MS + 1);
		this.violations.note(silent + " fall silent for " + durationMs + " ms");
		this.fleet.beginSilence(silent);
		undoAfter(durationMs, () -> this.fleet.endSilence(silent));
		SoakNode node = this.fleet.nodes().get(this.silenceRandom.nextInt(this.fleet.nodes().size()));
		switch (this.silenceRandom.nextInt(6)) {
			case 0, 1 -> this.violations.note("version " + this.fleet.changeConfig());
			case 2 -> stop(node, this.silenceRandom);
			case 3 -> kill(node, this.silenceRandom);
			default -> {
				// Nothing else happens.
			}
		}
	}

	private void replyEndlessly() {
		List<String> ids = this.fleet.upstreamIds();
		String upstream = ids.get(this.endlessRandom.nextInt(ids.size()));
		EndlessReplyProxy.Kind kind = ENDLESS.get(this.endlessRandom.nextInt(ENDLESS.size()));
		this.violations.note(upstream + " sends without end: " + kind);
		this.fleet.upstreamPath(upstream).setReplyOverride(Optional.of(kind::send));
		undoAfter(MIN_DURATION_MS + this.endlessRandom.nextInt(MAX_DURATION_MS),
				() -> this.fleet.upstreamPath(upstream).setReplyOverride(Optional.empty()));
	}

	// Writes objects of one kind under names that begin with that of a sound object.
	private void writeOddNames() {
		OddObjects[] kinds = OddObjects.values();
		OddObjects odd = kinds[this.nameRandom.nextInt(kinds.length)];
		List<String> sound = this.fleet.store().names(odd.kind);
		String prefix = sound.isEmpty() ? "n" : sound.get(this.nameRandom.nextInt(sound.size()));
		List<String> suffixes = new ArrayList<>(ODD_SUFFIXES);
		Collections.shuffle(suffixes, this.nameRandom);
		List<String> names = suffixes.subList(0, 1 + this.nameRandom.nextInt(MAX_ODD_NAMES))
			.stream()
			.map((suffix) -> prefix + suffix + "x")
			.toList();
		this.violations.note(names.size() + " odd names after " + prefix + " of the kind " + odd.kind);
		names.forEach((name) -> this.fleet.store().put(odd.kind, name, odd.spec));
		undoAfter(MIN_DURATION_MS + this.nameRandom.nextInt(MAX_DURATION_MS),
				() -> names.forEach((name) -> this.fleet.store().removeIfPresent(odd.kind, name)));
	}

	private void replyUnframed() {
		List<String> ids = this.fleet.upstreamIds();
		String upstream = ids.get(this.unframedRandom.nextInt(ids.size()));
		setFault(upstream, UNFRAMED.get(this.unframedRandom.nextInt(UNFRAMED.size())), this.unframedRandom);
	}

	private void setFault(String upstream, UpstreamStandin.Fault fault, Random durations) {
		this.violations.note(upstream + " " + fault);
		this.fleet.upstream(upstream).setFault(fault);
		undoAfter(MIN_DURATION_MS + durations.nextInt(MAX_DURATION_MS),
				() -> this.fleet.upstream(upstream).setFault(UpstreamStandin.Fault.NONE));
	}

	private void replyUnframedFromStore() {
		double share = this.unframedRandom.nextInt(3) / 2.0;
		this.violations.note("store sends " + share + " of its replies, unframed");
		this.fleet.store().replyUnframed(share);
		undoAfter(MIN_DURATION_MS + this.unframedRandom.nextInt(MAX_DURATION_MS),
				() -> this.fleet.store().replyFramed());
	}

	// Operators and upstreams rewrite their objects some time after the restore.
	private void rollBackStore() {
		if (this.rollbackInProgress) {
			return;
		}
		this.rollbackInProgress = true;
		this.violations.note("backup of the store saved");
		this.fleet.store().saveBackup();
		int delayMs = MIN_DURATION_MS + this.limitRandom.nextInt(MAX_DURATION_MS);
		undoAfter(delayMs, () -> {
			this.violations.note("store restored from backup");
			this.fleet.store().restoreBackup();
		});
		undoAfter(delayMs + MIN_REWRITE_MS + this.limitRandom.nextInt(MAX_REWRITE_MS), () -> {
			this.fleet.rewriteObjects();
			this.rollbackInProgress = false;
		});
	}

	private void undoLater(UndoAction undo) {
		undoLater(this.random, undo);
	}

	private void undoLater(Random durations, UndoAction undo) {
		undoAfter(MIN_DURATION_MS + durations.nextInt(MAX_DURATION_MS), undo);
	}

	private void undoAfter(int delayMs, UndoAction undo) {
		this.undoTasks.add(this.undoExecutor.schedule(() -> {
			undo.run();
			return null;
		}, delayMs, TimeUnit.MILLISECONDS));
	}

	private void kill(SoakNode node, Random durations) {
		this.violations.note("kill " + node.incarnation());
		node.process().kill();
		undoLater(durations, node::restart);
	}

	private void freeze(SoakNode node) {
		ManagedProcess process = node.process();
		this.violations.note("freeze " + node.incarnation());
		process.suspend();
		undoLater(process::resume);
	}

	private void stop(SoakNode node, Random durations) {
		ManagedProcess process = node.process();
		this.violations.note("stop " + node.incarnation());
		process.requestStop();
		undoLater(durations, () -> {
			process.awaitExit();
			node.restart();
		});
	}

	private void injectPathFault(String name, FaultProxy path) {
		FaultProxy.Direction direction = this.random.nextBoolean() ? path.towardsTarget() : path.towardsCaller();
		int kind = this.random.nextInt(5);
		this.violations.note("fault " + kind + " on " + name);
		switch (kind) {
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
			// A connection cannot continue after bytes were dropped.
			if (kind >= 3) {
				path.closeConnections();
			}
			path.setRefusing(false);
			direction.setDelayMs(0);
			direction.setFrozen(false);
			direction.setDropping(false);
		});
	}

	private void injectUpstreamFault(String upstream) {
		setFault(upstream, pick(FRAMED), this.random);
	}

	private void storeOutage() {
		boolean unresponsive = this.random.nextBoolean();
		this.violations.note("store " + (unresponsive ? "unresponsive" : "down"));
		if (unresponsive) {
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

	private void expireEntry(String upstream) {
		this.violations.note("entry of " + upstream + " expires");
		if (this.fleet.store().names("servers").contains(upstream)) {
			this.fleet.store().remove("servers", upstream);
		}
		undoLater(() -> this.fleet.publish(upstream, "ready"));
	}

	private void changeSettings(SoakNode node) throws IOException {
		this.violations.note("settings of " + node.vm());
		node.writeSettings(20 + this.random.nextInt(60));
	}

	@Override
	public void close() {
		this.undoExecutor.shutdownNow();
	}

	/** Objects that another writer may leave in the store. */
	private enum OddObjects {

		UPSTREAM("servers", """
				{"service":"plain","address":"127.0.0.1:1","zone":"d","version":"v0","slots":4,"state":"ready",
				 "seq":1,"cold_left_ms":0}"""), CONFIGURATION("config", "{\"version\":1000000}"),
		EVACUATION("evacuations", "{}"), QUARANTINE("tallycart-quarantine", "{\"until_ms\":1}"),
		VM("tallycart-vms", "{\"address\":\"no.host:1\"}"), SOFTWARE_VERSIONS("tallycart-software", "7");

		private final String kind;

		private final String spec;

		OddObjects(String kind, String spec) {
			this.kind = kind;
			this.spec = spec;
		}

	}

	/** Clears a fault. */
	@FunctionalInterface
	private interface UndoAction {

		void run() throws IOException;

	}

}
