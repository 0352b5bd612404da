package org.tallycart.core.crash;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Stream;

/**
 * Simulates a fleet in virtual time: callers, VMs that send requests to engines and
 * report their crashes, and one detector. A crashing request crashes an engine shortly
 * after it was started there; the engine restarts as a new incarnation.
 * <p>
 * Not thread-safe.
 */
final class CrashingFleetSimulation {

	static final String CRASHING = "crashing";

	/** Maximum time from the start of a crashing request to the crash. */
	private static final int MAX_CRASH_DELAY_MS = 90;

	/** Maximum run time of a suspect. */
	private static final int MAX_SUSPECT_RUN_MS = 300;

	private static final int RESTART_MS = 3_000;

	/** Name of parts of prompts that crash the engines that begin to answer with them. */
	static final String CRASHING_PART = "bad part";

	/** Run time after which an engine has read the parts of a prompt. */
	private static final int PARTS_READ_MS = 1_000;

	/** Number of crashes under a part after which later sends count as late. */
	private static final int CRASHES_OF_PART = 5;

	private static final int MAX_SENDS = 2;

	/** Time after the third crash from which on a send counts as late. */
	private static final int LATE_AFTER_MS = 3_000;

	/** Delay of messages between VMs. */
	private static final int MESSAGE_DELAY_MS = 60;

	/** Queueing delay per request at an engine. */
	private static final int QUEUE_DELAY_MS = 15;

	private final Random random;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atMs).thenComparingLong(Event::number));

	private final List<Engine> engines = new ArrayList<>();

	private final List<RecentCrashReports> vms = new ArrayList<>();

	private final List<ServedRequests> served = new ArrayList<>();

	private final List<ServedRequests> servedParts = new ArrayList<>();

	private final CrashCauseDetector detector;

	private final Set<Fingerprint> quarantined = new HashSet<>();

	private final Map<String, Integer> crashes = new HashMap<>();

	private final Map<String, Long> thirdCrashMs = new HashMap<>();

	private final Map<String, Long> partKnownMs = new HashMap<>();

	private int soundSubmitted;

	private int soundRejected;

	private int lateSends;

	private final Map<String, Integer> latePartSends = new HashMap<>();

	private long now;

	private long lastEvent;

	private int lastId;

	CrashingFleetSimulation(int vms, int engines, long seed) {
		this.random = new Random(seed);
		this.detector = new CrashCauseDetector(this.quarantined::contains);
		for (int i = 0; i < vms; i++) {
			this.vms.add(new RecentCrashReports());
			this.served.add(new ServedRequests());
			this.servedParts.add(new ServedRequests());
		}
		for (int i = 0; i < engines; i++) {
			this.engines.add(new Engine("engine" + i));
		}
	}

	void schedule(long ms, Runnable action) {
		this.events.add(new Event(this.now + ms, this.lastEvent++, action));
	}

	// Sends requests at random intervals, each from another caller.
	void startTraffic(int perSecond, String prefix, boolean sameContent, long untilMs) {
		if (this.now >= untilMs) {
			return;
		}
		submit(sameContent ? prefix : prefix + this.lastId, true);
		schedule(1 + this.random.nextInt(2_000 / perSecond),
				() -> startTraffic(perSecond, prefix, sameContent, untilMs));
	}

	void submit(String content, boolean retries) {
		submit(content, List.of(), retries);
	}

	private void submit(String content, List<String> parts, boolean retries) {
		boolean sound = !isCrashing(content, parts);
		Request request = new Request(content, parts, "r" + this.lastId++, retries);
		this.soundSubmitted += sound ? 1 : 0;
		this.soundRejected += (sound && request.isQuarantined()) ? 1 : 0;
		request.send();
	}

	// Sends requests at random intervals, no two of the same content.
	void startPartTraffic(double perSecond, Function<Random, List<String>> parts, long untilMs) {
		if (this.now >= untilMs) {
			return;
		}
		submit("content" + this.lastId, parts.apply(this.random), true);
		schedule(1 + this.random.nextInt((int) (2_000 / perSecond)), () -> startPartTraffic(perSecond, parts, untilMs));
	}

	private static boolean isCrashing(String content, List<String> parts) {
		return content.startsWith(CRASHING) || parts.stream().anyMatch((part) -> part.startsWith(CRASHING_PART));
	}

	// Returns the share of sound requests that were rejected when they came.
	double soundRejectedShare() {
		return (double) this.soundRejected / Math.max(this.soundSubmitted, 1);
	}

	// Crashes several engines at the same time, regardless of their requests.
	void crashEngines(int count) {
		List<Engine> candidates = new ArrayList<>(this.engines);
		candidates.removeIf((engine) -> !engine.alive);
		Collections.shuffle(candidates, this.random);
		candidates.stream().limit(count).toList().forEach(Engine::terminate);
	}

	void runUntil(long ms) {
		while (!this.events.isEmpty() && this.events.peek().atMs() <= ms) {
			Event next = this.events.poll();
			this.now = next.atMs();
			next.action().run();
		}
	}

	Set<Fingerprint> quarantined() {
		return this.quarantined;
	}

	// Returns the number of sends later than allowed after the third crash.
	int lateSends() {
		return this.lateSends;
	}

	// Returns the number of sends with a part later than allowed after its fifth crash.
	int lateSends(String part) {
		return this.latePartSends.getOrDefault(part, 0);
	}

	private void recordLateSend(List<String> parts) {
		for (String part : parts) {
			if (this.now > this.partKnownMs.getOrDefault(part, Long.MAX_VALUE - LATE_AFTER_MS) + LATE_AFTER_MS) {
				this.latePartSends.merge(part, 1, Integer::sum);
			}
		}
	}

	private void recordLateSend(String content) {
		if (this.now > this.thirdCrashMs.getOrDefault(content, Long.MAX_VALUE - LATE_AFTER_MS) + LATE_AFTER_MS) {
			this.lateSends++;
		}
	}

	int crashCount(String content) {
		return this.crashes.getOrDefault(content, 0);
	}

	private void report(CrashReport report) {
		this.detector.onReport(report, this.now)
			.forEach((suspect) -> schedule(MESSAGE_DELAY_MS,
					() -> askForCompletion(suspect, this.detector.clearedFromMs(suspect, this.now))));
		schedule(CrashingRequestDetector.CONFIRMATION_DELAY_MS, () -> {
			List<Fingerprint> confirmed = this.detector.takeConfirmed(this.now);
			schedule(MESSAGE_DELAY_MS, () -> quarantine(confirmed));
		});
	}

	private void askForCompletion(Fingerprint suspect, long sinceMs) {
		Stream.concat(this.served.stream(), this.servedParts.stream())
			.flatMapToLong((vm) -> vm.lastServedMs(suspect).stream())
			.filter((servedMs) -> servedMs >= sinceMs)
			.max()
			.ifPresent((servedMs) -> schedule(MESSAGE_DELAY_MS, () -> this.detector.onServed(suspect, servedMs)));
	}

	private void quarantine(List<Fingerprint> confirmed) {
		this.quarantined.addAll(confirmed);
		this.engines.forEach((engine) -> engine.runs.removeIf((run) -> run.request.isQuarantined()));
	}

	private static CrashReport createReport(String incarnation, long endedMs, List<Run> interrupted) {
		List<Suspect> suspects = new ArrayList<>();
		Set<Fingerprint> readParts = new HashSet<>();
		for (Run run : interrupted) {
			if (run.startedMs >= 0 && endedMs - run.startedMs >= MAX_SUSPECT_RUN_MS) {
				readParts.addAll(run.request.partFingerprints);
			}
			else {
				suspects.add(new Suspect(run.request.fingerprint, run.request.partFingerprints, run.request.id,
						run.sentMs, (run.startedMs >= 0) ? endedMs - run.startedMs : Suspect.NOT_ANSWERED));
			}
		}
		return CrashReport.of(incarnation, endedMs, suspects).withReadParts(readParts);
	}

	private CrashReport unserved(RecentCrashReports vm, CrashReport report) {
		ServedRequests parts = this.servedParts.get(this.vms.indexOf(vm));
		long fromMs = report.endedMs() - CrashingPartDetector.CLEARED_MS;
		return report.withoutParts((part) -> parts.servedSince(part, fromMs));
	}

	/** A request with one request id. */
	private final class Request {

		private final String content;

		private final List<String> parts;

		private final Fingerprint fingerprint;

		private final List<Fingerprint> partFingerprints;

		private final String id;

		private final boolean retries;

		private final RecentCrashReports vm;

		private int sends;

		Request(String content, List<String> parts, String id, boolean retries) {
			this.content = content;
			this.parts = parts;
			this.fingerprint = new Fingerprint(content);
			this.partFingerprints = parts.stream().map(Fingerprint::new).toList();
			this.id = id;
			this.retries = retries;
			this.vm = CrashingFleetSimulation.this.vms
				.get(CrashingFleetSimulation.this.random.nextInt(CrashingFleetSimulation.this.vms.size()));
		}

		void send() {
			Optional<Engine> engine = CrashingFleetSimulation.this.engines.stream()
				.filter((each) -> each.alive)
				.min(Comparator
					.comparingInt((each) -> each.runs.size() * 10 + CrashingFleetSimulation.this.random.nextInt(15)));
			boolean canSend = this.sends < MAX_SENDS && !isQuarantined();
			if (canSend && engine.isPresent()) {
				this.sends++;
				recordLateSend(this.content);
				recordLateSend(this.parts);
				engine.get().enqueue(new Run(this, CrashingFleetSimulation.this.now));
			}
			else if (this.retries) {
				schedule(100, () -> submit(this.content, this.parts, false));
			}
		}

		boolean isQuarantined() {
			return CrashingFleetSimulation.this.quarantined.contains(this.fingerprint)
					|| this.partFingerprints.stream().anyMatch(CrashingFleetSimulation.this.quarantined::contains);
		}

		void onAnswered() {
			int vmNumber = CrashingFleetSimulation.this.vms.indexOf(this.vm);
			CrashingFleetSimulation.this.served.get(vmNumber).add(this.fingerprint, CrashingFleetSimulation.this.now);
			clear(this.fingerprint);
			onPartsRead();
		}

		void onPartsRead() {
			int vmNumber = CrashingFleetSimulation.this.vms.indexOf(this.vm);
			for (Fingerprint part : this.partFingerprints) {
				CrashingFleetSimulation.this.servedParts.get(vmNumber).add(part, CrashingFleetSimulation.this.now);
				clear(part);
			}
		}

		private void clear(Fingerprint suspect) {
			long servedMs = CrashingFleetSimulation.this.now;
			if (this.vm.removeSuspect(suspect, servedMs)) {
				schedule(MESSAGE_DELAY_MS, () -> CrashingFleetSimulation.this.detector.onServed(suspect, servedMs));
			}
		}

	}

	/** A request that was sent to an engine. */
	private static final class Run {

		private final Request request;

		private final long sentMs;

		private long startedMs = -1;

		Run(Request request, long sentMs) {
			this.request = request;
			this.sentMs = sentMs;
		}

	}

	/** An engine with all its incarnations. */
	private final class Engine {

		private final String name;

		private final List<Run> runs = new ArrayList<>();

		private int incarnationNumber;

		private boolean alive = true;

		Engine(String name) {
			this.name = name;
		}

		void enqueue(Run run) {
			this.runs.add(run);
			schedule((long) this.runs.size() * QUEUE_DELAY_MS, () -> start(run));
		}

		private void start(Run run) {
			if (!this.runs.contains(run)) {
				return;
			}
			run.startedMs = CrashingFleetSimulation.this.now;
			if (isCrashing(run.request.content, run.request.parts)) {
				schedule(1 + CrashingFleetSimulation.this.random.nextInt(MAX_CRASH_DELAY_MS), () -> crash(run));
			}
			else {
				schedule(PARTS_READ_MS, () -> readParts(run));
				schedule(200 + CrashingFleetSimulation.this.random.nextInt(1_500), () -> answer(run));
			}
		}

		private void crash(Run run) {
			if (this.runs.contains(run)) {
				run.request.parts.forEach(this::countCrash);
				if (CrashingFleetSimulation.this.crashes.merge(run.request.content, 1, Integer::sum) == 3) {
					CrashingFleetSimulation.this.thirdCrashMs.put(run.request.content,
							CrashingFleetSimulation.this.now);
				}
				terminate();
			}
		}

		private void readParts(Run run) {
			if (this.runs.contains(run)) {
				run.request.onPartsRead();
			}
		}

		private void countCrash(String part) {
			boolean known = CrashingFleetSimulation.this.crashes.merge(part, 1, Integer::sum) == CRASHES_OF_PART;
			if (known && part.startsWith(CRASHING_PART)) {
				CrashingFleetSimulation.this.partKnownMs.put(part, CrashingFleetSimulation.this.now);
			}
		}

		private void answer(Run run) {
			if (this.runs.remove(run)) {
				run.request.onAnswered();
			}
		}

		void terminate() {
			List<Run> interrupted = new ArrayList<>(this.runs);
			this.runs.clear();
			this.alive = false;
			String incarnation = this.name + "#" + this.incarnationNumber++;
			long endedMs = CrashingFleetSimulation.this.now;
			Map<RecentCrashReports, List<Run>> byVm = new LinkedHashMap<>();
			interrupted.forEach((run) -> byVm.computeIfAbsent(run.request.vm, (key) -> new ArrayList<>()).add(run));
			byVm.forEach((vm, interruptedRuns) -> schedule(
					30 + CrashingFleetSimulation.this.random.nextInt(MESSAGE_DELAY_MS),
					() -> vm
						.add(unserved(vm, createReport(incarnation, endedMs, interruptedRuns)),
								CrashingFleetSimulation.this.now)
						.ifPresent(CrashingFleetSimulation.this::report)));
			interrupted.forEach((run) -> run.request.send());
			schedule(RESTART_MS, () -> this.alive = true);
		}

	}

	private record Event(long atMs, long number, Runnable action) {
	}

}
