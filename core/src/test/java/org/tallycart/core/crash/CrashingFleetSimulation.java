package org.tallycart.core.crash;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * A fleet in virtual time: callers, VMs that send to engines and report their ends, and
 * one ledger. Engines that a request crashes end a moment after they began to run it, and
 * come back under a new name.
 * <p>
 * Not thread-safe.
 */
final class CrashingFleetSimulation {

	static final String CRASHING = "crashing";

	/** What was seen of engines: they end up to this long after they began a run. */
	private static final int CRASH_MS = 90;

	/** Requests that had run for longer are no suspects. */
	private static final int BEGIN_MS = 300;

	private static final int BACK_MS = 3_000;

	private static final int SENDS = 2;

	/** How long after the third end a request may still be sent. */
	private static final int ALLOWED_MS = 3_000;

	/** From a cut to a report at the ledger, and from its finding to all VMs. */
	private static final int NEWS_MS = 60;

	/** What the next run in an engine's queue waits for each that is there. */
	private static final int QUEUE_MS = 15;

	private final Random random;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atMs).thenComparingLong(Event::number));

	private final List<Engine> engines = new ArrayList<>();

	private final List<RecentCrashReports> vms = new ArrayList<>();

	private final List<ServedRequests> served = new ArrayList<>();

	private final CrashingRequestDetector ledger = new CrashingRequestDetector();

	private final Set<Fingerprint> kept = new HashSet<>();

	private final Map<String, Integer> ends = new HashMap<>();

	private final Map<String, Long> thirdEndMs = new HashMap<>();

	private int lateSends;

	private long now;

	private long lastEvent;

	private int lastId;

	CrashingFleetSimulation(int vms, int engines, long seed) {
		this.random = new Random(seed);
		for (int i = 0; i < vms; i++) {
			this.vms.add(new RecentCrashReports());
			this.served.add(new ServedRequests());
		}
		for (int i = 0; i < engines; i++) {
			this.engines.add(new Engine("engine" + i));
		}
	}

	void after(long ms, Runnable what) {
		this.events.add(new Event(this.now + ms, this.lastEvent++, what));
	}

	// Requests that come at random moments, each from another caller.
	void traffic(int perSecond, String prefix, boolean alike, long untilMs) {
		if (this.now >= untilMs) {
			return;
		}
		call(alike ? prefix : prefix + this.lastId, true);
		after(1 + this.random.nextInt(2_000 / perSecond), () -> traffic(perSecond, prefix, alike, untilMs));
	}

	void call(String content, boolean comesAgain) {
		new Request(content, "r" + this.lastId++, comesAgain).send();
	}

	// Several engines end at the same moment, whatever they run.
	void loseEngines(int count) {
		List<Engine> lost = new ArrayList<>(this.engines);
		lost.removeIf((engine) -> !engine.alive);
		Collections.shuffle(lost, this.random);
		lost.stream().limit(count).toList().forEach(Engine::end);
	}

	void runUntil(long ms) {
		while (!this.events.isEmpty() && this.events.peek().atMs() <= ms) {
			Event next = this.events.poll();
			this.now = next.atMs();
			next.what().run();
		}
	}

	Set<Fingerprint> kept() {
		return this.kept;
	}

	// Sends of a request later than the users allow after its third end.
	int lateSends() {
		return this.lateSends;
	}

	private void countLate(String content) {
		if (this.now > this.thirdEndMs.getOrDefault(content, Long.MAX_VALUE - ALLOWED_MS) + ALLOWED_MS) {
			this.lateSends++;
		}
	}

	int ends(String content) {
		return this.ends.getOrDefault(content, 0);
	}

	private void report(CrashReport report) {
		this.ledger.onReport(report, this.now)
			.forEach((suspect) -> after(NEWS_MS, () -> ask(suspect, this.ledger.firstCrashMs(suspect, this.now))));
		after(CrashingRequestDetector.CONFIRMATION_DELAY_MS, () -> {
			List<Fingerprint> found = this.ledger.takeConfirmed(this.now);
			after(NEWS_MS, () -> keepAway(found));
		});
	}

	private void ask(Fingerprint suspect, long sinceMs) {
		if (this.served.stream().anyMatch((vm) -> vm.servedSince(suspect, sinceMs))) {
			after(NEWS_MS, () -> this.ledger.onCleared(suspect, this.now));
		}
	}

	private void keepAway(List<Fingerprint> found) {
		this.kept.addAll(found);
		this.engines.forEach((engine) -> engine.runs.removeIf((run) -> found.contains(run.request.fingerprint)));
	}

	/** A request under one id. */
	private final class Request {

		private final String content;

		private final Fingerprint fingerprint;

		private final String id;

		private final boolean comesAgain;

		private final RecentCrashReports vm;

		private int sends;

		Request(String content, String id, boolean comesAgain) {
			this.content = content;
			this.fingerprint = new Fingerprint(content);
			this.id = id;
			this.comesAgain = comesAgain;
			this.vm = CrashingFleetSimulation.this.vms
				.get(CrashingFleetSimulation.this.random.nextInt(CrashingFleetSimulation.this.vms.size()));
		}

		void send() {
			Optional<Engine> engine = CrashingFleetSimulation.this.engines.stream()
				.filter((each) -> each.alive)
				.min(Comparator
					.comparingInt((each) -> each.runs.size() * 10 + CrashingFleetSimulation.this.random.nextInt(15)));
			boolean may = this.sends < SENDS && !CrashingFleetSimulation.this.kept.contains(this.fingerprint);
			if (may && engine.isPresent()) {
				this.sends++;
				countLate(this.content);
				engine.get().take(new Run(this, CrashingFleetSimulation.this.now));
			}
			else if (this.comesAgain) {
				after(100, () -> call(this.content, false));
			}
		}

		void answered() {
			CrashingFleetSimulation.this.served.get(CrashingFleetSimulation.this.vms.indexOf(this.vm))
				.add(this.fingerprint, CrashingFleetSimulation.this.now);
			if (this.vm.removeSuspect(this.fingerprint)) {
				after(NEWS_MS, () -> CrashingFleetSimulation.this.ledger.onCleared(this.fingerprint,
						CrashingFleetSimulation.this.now));
			}
		}

	}

	/** A request at an engine. */
	private static final class Run {

		private final Request request;

		private final long sentMs;

		private long begunMs = -1;

		Run(Request request, long sentMs) {
			this.request = request;
			this.sentMs = sentMs;
		}

	}

	/** An engine, through all its lives. */
	private final class Engine {

		private final String name;

		private final List<Run> runs = new ArrayList<>();

		private int life;

		private boolean alive = true;

		Engine(String name) {
			this.name = name;
		}

		void take(Run run) {
			this.runs.add(run);
			after((long) this.runs.size() * QUEUE_MS, () -> begin(run));
		}

		private void begin(Run run) {
			if (!this.runs.contains(run)) {
				return;
			}
			run.begunMs = CrashingFleetSimulation.this.now;
			if (run.request.content.startsWith(CRASHING)) {
				after(1 + CrashingFleetSimulation.this.random.nextInt(CRASH_MS), () -> crash(run));
			}
			else {
				after(200 + CrashingFleetSimulation.this.random.nextInt(1_500), () -> answer(run));
			}
		}

		private void crash(Run run) {
			if (this.runs.contains(run)) {
				if (CrashingFleetSimulation.this.ends.merge(run.request.content, 1, Integer::sum) == 3) {
					CrashingFleetSimulation.this.thirdEndMs.put(run.request.content, CrashingFleetSimulation.this.now);
				}
				end();
			}
		}

		private void answer(Run run) {
			if (this.runs.remove(run)) {
				run.request.answered();
			}
		}

		void end() {
			List<Run> cut = new ArrayList<>(this.runs);
			this.runs.clear();
			this.alive = false;
			String incarnation = this.name + "#" + this.life++;
			long endedMs = CrashingFleetSimulation.this.now;
			Map<RecentCrashReports, List<Suspect>> suspects = new HashMap<>();
			cut.stream()
				.filter((run) -> run.begunMs < 0 || endedMs - run.begunMs < BEGIN_MS)
				.forEach((run) -> suspects.computeIfAbsent(run.request.vm, (key) -> new ArrayList<>())
					.add(new Suspect(run.request.fingerprint, run.request.id, run.sentMs)));
			suspects.forEach((vm, all) -> after(30 + CrashingFleetSimulation.this.random.nextInt(NEWS_MS),
					() -> vm.add(CrashReport.of(incarnation, endedMs, all), CrashingFleetSimulation.this.now)
						.ifPresent(CrashingFleetSimulation.this::report)));
			cut.forEach((run) -> run.request.send());
			after(BACK_MS, () -> this.alive = true);
		}

	}

	private record Event(long atMs, long number, Runnable what) {
	}

}
