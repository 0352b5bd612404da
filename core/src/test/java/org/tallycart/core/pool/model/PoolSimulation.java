package org.tallycart.core.pool.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import org.tallycart.core.ini.Address;
import org.tallycart.core.pool.PieceJob;
import org.tallycart.core.pool.PieceOutcome;
import org.tallycart.core.pool.PoolCall;
import org.tallycart.core.pool.PoolDispatcher;
import org.tallycart.core.serving.PoolSpec;
import org.tallycart.core.serving.UpstreamEntry;

/**
 * Plays callers and the workers of stage pools in virtual time before the dispatchers
 * that the serving process runs. No network, no threads, no clock.
 * <p>
 * A worker begins a call when it is idle, reads its inputs then, keeps the results until
 * they are given back, and answers {@code late}, {@code gone} or {@code room} as the
 * platform's workers do. Messages between VMs take a fixed time. Engines are always free.
 * <p>
 * Not thread-safe: belongs to one test.
 */
final class PoolSimulation {

	/** A message between two VMs, or to a worker, in milliseconds. */
	private static final long MESSAGE_MS = 3;

	/** How often a dispatcher is ticked, in milliseconds. */
	private static final long TICK_MS = 25;

	/** When the inputs of a call that begins have been read, in milliseconds. */
	private static final long READ_MS = 10;

	/** When a result that is given back leaves room, in milliseconds. */
	private static final long GIVE_BACK_MS = 12;

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private final Map<String, Pool> pools = new LinkedHashMap<>();

	private final List<RequestKind> kinds = new ArrayList<>();

	private final Map<String, RequestStats> results = new LinkedHashMap<>();

	private final Random random;

	private final boolean inputsGivenBackEarly;

	private long nowMs;

	private long sequence;

	/**
	 * Create a model.
	 * @param seed of arrivals and counts of pieces
	 * @param inputsGivenBackEarly whether a request gives inputs back when they have been
	 * read, and not when the pieces made from them are there
	 */
	PoolSimulation(long seed, boolean inputsGivenBackEarly) {
		this.random = new Random(seed);
		this.inputsGivenBackEarly = inputsGivenBackEarly;
	}

	PoolSimulation pool(String name, PoolSpec spec, String... domains) {
		this.pools.put(name, new Pool(name, spec, domains));
		return this;
	}

	PoolSimulation kind(RequestKind kind) {
		this.kinds.add(kind);
		this.results.put(kind.name(), new RequestStats());
		return this;
	}

	/**
	 * Play the arrivals of some time, and what becomes of them.
	 * @param lengthMs how long requests arrive, in milliseconds
	 */
	void run(long lengthMs) {
		for (RequestKind kind : this.kinds) {
			arrivals(kind, lengthMs);
		}
		this.pools.values().forEach((pool) -> at(TICK_MS, pool::tick));
		long endMs = lengthMs + 30_000;
		while (!this.events.isEmpty() && this.nowMs < endMs) {
			Event next = this.events.remove();
			this.nowMs = next.atMs();
			next.action().run();
		}
	}

	private void arrivals(RequestKind kind, long lengthMs) {
		double ms = 0;
		int number = 0;
		while (true) {
			ms += -Math.log(1 - this.random.nextDouble()) * 1_000 / kind.perSecond((long) ms);
			if (ms >= lengthMs) {
				return;
			}
			SimulatedRequest request = new SimulatedRequest(this, kind, kind.name() + "-" + number, (long) ms,
					kind.pieceCounts(this.random));
			at((long) ms, request::start);
			number++;
		}
	}

	void at(long atMs, Runnable action) {
		this.sequence++;
		this.events.add(new Event(atMs, this.sequence, action));
	}

	void after(long ms, Runnable action) {
		at(this.nowMs + ms, action);
	}

	long nowMs() {
		return this.nowMs;
	}

	boolean inputsGivenBackEarly() {
		return this.inputsGivenBackEarly;
	}

	RequestStats result(String kind) {
		return this.results.get(kind);
	}

	Pool pool(String name) {
		return this.pools.get(name);
	}

	/** What became of the requests of a kind. */
	static final class RequestStats {

		private int asked;

		private int onTime;

		private int answered;

		void onAsked() {
			this.asked++;
		}

		void onAnswered(boolean inTime) {
			this.answered++;
			if (inTime) {
				this.onTime++;
			}
		}

		double onTimeShare() {
			return (double) this.onTime / this.asked;
		}

		double answeredShare() {
			return (double) this.answered / this.asked;
		}

	}

	/**
	 * Something that happens.
	 *
	 * @param atMs when
	 * @param sequence the order among what happens at the same time
	 * @param action what
	 */
	private record Event(long atMs, long sequence, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int byTime = Long.compare(this.atMs, other.atMs);
			return (byTime != 0) ? byTime : Long.compare(this.sequence, other.sequence);
		}

	}

	/** A pool: its dispatcher, and its workers. */
	final class Pool {

		private final PoolSpec spec;

		private final PoolDispatcher dispatcher;

		private final Map<String, Worker> workers = new HashMap<>();

		private int calls;

		private int pieces;

		private Pool(String name, PoolSpec spec, String... domains) {
			this.spec = spec;
			this.dispatcher = new PoolDispatcher(spec);
			List<UpstreamEntry> entries = new ArrayList<>();
			for (int i = 0; i < domains.length; i++) {
				String id = name + "-" + i;
				entries
					.add(UpstreamEntry.builder(id, name).location(new Address("10.0.0.1", 1 + i), domains[i]).build());
				this.workers.put(id, new Worker(spec));
			}
			this.dispatcher.updateWorkers(entries, Set.of());
		}

		PoolDispatcher dispatcher() {
			return this.dispatcher;
		}

		/**
		 * Return how many pieces a call held.
		 * @return the mean
		 */
		double piecesPerCall() {
			return (double) this.pieces / this.calls;
		}

		Worker worker(String id) {
			return this.workers.get(id);
		}

		void release(List<String> handles) {
			after(GIVE_BACK_MS, () -> {
				handles.forEach((handle) -> this.workers.values().forEach((worker) -> worker.drop(handle)));
				this.dispatcher.release(handles);
				pump();
			});
		}

		private void tick() {
			this.dispatcher.tick(PoolSimulation.this.nowMs);
			pump();
			after(TICK_MS, this::tick);
		}

		void pump() {
			Optional<PoolCall> call = this.dispatcher.nextCall(PoolSimulation.this.nowMs);
			while (call.isPresent()) {
				PoolCall made = call.get();
				this.calls++;
				this.pieces += made.jobs().size();
				after(MESSAGE_MS, () -> this.workers.get(made.worker().id()).take(this, made));
				call = this.dispatcher.nextCall(PoolSimulation.this.nowMs);
			}
		}

		private void onEnd(PoolCall call, List<PieceOutcome> outcomes) {
			after(MESSAGE_MS, () -> {
				release(this.dispatcher.onAnswer(call.number(), outcomes, PoolSimulation.this.nowMs));
				pump();
			});
		}

		boolean exists(String handle) {
			return this.workers.values().stream().anyMatch((worker) -> worker.results.contains(handle));
		}

	}

	/** A worker of a pool. */
	final class Worker {

		private final PoolSpec spec;

		private final Set<String> results = new HashSet<>();

		private final Map<String, Long> bytes = new HashMap<>();

		private long freeAtMs;

		private double pace = 1;

		private Worker(PoolSpec spec) {
			this.spec = spec;
		}

		void slow(double times) {
			this.pace = times;
		}

		private void take(Pool pool, PoolCall call) {
			long turnMs = Math.max(PoolSimulation.this.nowMs, this.freeAtMs);
			this.freeAtMs = turnMs + (long) (this.spec.expectedMs(call.jobs().size()) * this.pace);
			at(turnMs + READ_MS, () -> begin(pool, call));
		}

		private void begin(Pool pool, PoolCall call) {
			List<PieceOutcome> outcomes = new ArrayList<>();
			for (PieceJob job : call.jobs()) {
				outcomes.add(begin(job));
			}
			at(this.freeAtMs, () -> pool.onEnd(call, outcomes));
		}

		private PieceOutcome begin(PieceJob job) {
			boolean there = job.inputs()
				.stream()
				.allMatch(
						(input) -> PoolSimulation.this.pools.values().stream().anyMatch((pool) -> pool.exists(input)));
			if (!there) {
				return PieceOutcome.notCompleted(PieceOutcome.Status.INPUT_GONE);
			}
			long taken = this.bytes.values().stream().mapToLong(Long::longValue).sum();
			if (taken + job.resultBytes() > this.spec.resultMemoryBytes()) {
				return PieceOutcome.notCompleted(PieceOutcome.Status.NO_ROOM);
			}
			String handle = job.service() + "/" + job.id().requestId() + "/" + job.id().stage() + "/"
					+ job.id().piece();
			this.results.add(handle);
			this.bytes.put(handle, job.resultBytes());
			return PieceOutcome.completed(handle);
		}

		private void drop(String handle) {
			this.results.remove(handle);
			this.bytes.remove(handle);
		}

	}

}
