package org.tallycart.core.attempt;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import org.tallycart.core.ini.Address;
import org.tallycart.core.serving.LoadReport;
import org.tallycart.core.serving.Route;
import org.tallycart.core.serving.UpstreamEntry;
import org.tallycart.core.upstream.HedgeBudget;
import org.tallycart.core.upstream.HedgeTargets;
import org.tallycart.core.upstream.LeastLoadedChooser;
import org.tallycart.core.upstream.UpstreamDirectory;
import org.tallycart.core.upstream.UpstreamState;
import org.tallycart.core.upstream.WindowedRetryBudget;

/**
 * Simulation of VMs that hedge the requests of one service, in virtual time: the
 * production attempts, delays, budgets, targets and chooser, and upstreams that run some
 * requests at a time and queue the others. Work is run until it is cancelled.
 * <p>
 * Not thread-safe: belongs to one test.
 */
final class HedgedServiceSimulation {

	private static final long NETWORK_MS = 1;

	private static final long WINDOW_MS = 10_000;

	private static final long TIMEOUT_MS = 60_000;

	private static final int SLOTS = 8;

	private final VirtualClock clock = new VirtualClock();

	private final Route route = HedgeDelaysTests.route("route", 50);

	private final Random random;

	private final Shape shape;

	private final List<Upstream> upstreams;

	private final List<Vm> vms;

	private final List<Long> latenciesMs = new ArrayList<>();

	private int firstAttempts;

	private int hedges;

	private int extraReplies;

	private final double share;

	private boolean measuring;

	/** Virtual milliseconds for which upstreams have worked. */
	private double workMs;

	HedgedServiceSimulation(Shape shape, int vms, int upstreams, double share, long seed) {
		this.shape = shape;
		this.share = share;
		this.random = new Random(seed);
		this.upstreams = IntStream.range(0, upstreams).mapToObj(Upstream::new).toList();
		this.vms = IntStream.range(0, vms).mapToObj((i) -> new Vm("d" + i % 3)).toList();
	}

	/**
	 * Let requests come for a time, and measure those after the first sixth of it.
	 * @param ms the time in milliseconds
	 * @param utilization the load as a share of all slots, without hedges
	 */
	Result run(long ms, double utilization) {
		double perMs = utilization * this.upstreams.size() * SLOTS / this.shape.meanMs();
		arrive(perMs, 0, ms);
		this.clock.run(ms / 6);
		this.measuring = true;
		this.clock.run(ms - ms / 6);
		this.clock.run(TIMEOUT_MS);
		long[] sorted = this.latenciesMs.stream().mapToLong(Long::longValue).sorted().toArray();
		return new Result(sorted, this.firstAttempts, this.hedges, this.extraReplies, this.workMs);
	}

	private void arrive(double perMs, double atMs, long untilMs) {
		double next = atMs - Math.log(1 - this.random.nextDouble()) / perMs;
		if (next < untilMs) {
			this.clock.after(Math.round(next) - this.clock.nowMs(), () -> {
				new Request(this.vms.get(this.random.nextInt(this.vms.size()))).start();
				arrive(perMs, next, untilMs);
			});
		}
	}

	private VirtualClock clock() {
		return this.clock;
	}

	/** Times that work takes at an upstream. */
	enum Shape {

		/** One in 20 upstreams takes ten times as long. */
		ONE_UPSTREAM_IN_TWENTY {
			@Override
			long workMs(Upstream upstream, Random random) {
				return base(random) * ((upstream.number % 20 == 0) ? 10 : 1);
			}

			@Override
			double meanMs() {
				return BASE_MS * 1.45;
			}
		},

		/** One in 20 attempts takes ten times as long, wherever it is sent. */
		ONE_ATTEMPT_IN_TWENTY {
			@Override
			long workMs(Upstream upstream, Random random) {
				return base(random) * ((random.nextInt(20) == 0) ? 10 : 1);
			}

			@Override
			double meanMs() {
				return BASE_MS * 1.45;
			}
		},

		/** All requests take ten times as long. */
		ALL_SLOW {
			@Override
			long workMs(Upstream upstream, Random random) {
				return base(random) * 10;
			}

			@Override
			double meanMs() {
				return BASE_MS * 10;
			}
		},

		/** Half of the upstreams are three times as fast as the others. */
		BIMODAL {
			@Override
			long workMs(Upstream upstream, Random random) {
				return base(random) * ((upstream.number % 2 == 0) ? 3 : 1);
			}

			@Override
			double meanMs() {
				return BASE_MS * 2;
			}
		};

		private static final int BASE_MS = 40;

		private static long base(Random random) {
			return BASE_MS - 5 + random.nextInt(11);
		}

		abstract long workMs(Upstream upstream, Random random);

		abstract double meanMs();

	}

	/**
	 * What was measured.
	 *
	 * @param sortedMs the latencies, in ascending order
	 * @param firstAttempts the number of first attempts
	 * @param hedges the number of hedges
	 * @param extraReplies the number of replies beyond the first of a request
	 * @param workMs the time for which upstreams have worked
	 */
	record Result(long[] sortedMs, int firstAttempts, int hedges, int extraReplies, double workMs) {

		long quantile(double fraction) {
			return this.sortedMs[(int) Math.min(Math.round(fraction * this.sortedMs.length), this.sortedMs.length - 1)];
		}

		double hedgeShare() {
			return (double) this.hedges / this.firstAttempts;
		}

		@Override
		public String toString() {
			return String.format("n %d, hedges %.4f, p50 %d, p95 %d, p99 %d, p99.9 %d, work %.0f", this.sortedMs.length,
					hedgeShare(), quantile(0.5), quantile(0.95), quantile(0.99), quantile(0.999), this.workMs);
		}

	}

	/** A VM. */
	private final class Vm {

		private final String domain;

		private final UpstreamDirectory directory = new UpstreamDirectory();

		private final HedgeDelays delays = new HedgeDelays();

		private final HedgeBudget budget = new HedgeBudget(HedgedServiceSimulation.this.share, WINDOW_MS, 0, 0);

		private final WindowedRetryBudget retries = new WindowedRetryBudget(0.2, WINDOW_MS, 50, -WINDOW_MS);

		private Vm(String domain) {
			this.domain = domain;
			this.directory.replace(HedgedServiceSimulation.this.upstreams.stream().map(Upstream::entry).toList(), 0);
		}

	}

	/** An upstream. */
	private final class Upstream {

		private final int number;

		private final Deque<SentAttempt> waiting = new ArrayDeque<>();

		private final Set<SentAttempt> running = new HashSet<>();

		private Upstream(int number) {
			this.number = number;
		}

		private UpstreamEntry entry() {
			return UpstreamEntry.builder("u" + this.number, "s")
				.startedMs(OptionalLong.of(1))
				.softwareVersion("v1")
				.location(new Address("10.0.0." + this.number, 80), "d" + this.number % 3)
				.slots(SLOTS)
				.build();
		}

		private void admit(SentAttempt attempt) {
			if (!attempt.ended) {
				this.waiting.add(attempt);
				startWaiting();
			}
		}

		private void startWaiting() {
			while (this.running.size() < SLOTS && !this.waiting.isEmpty()) {
				SentAttempt attempt = this.waiting.poll();
				this.running.add(attempt);
				attempt.startedMs = clock().nowMs();
				long workMs = HedgedServiceSimulation.this.shape.workMs(this, HedgedServiceSimulation.this.random);
				clock().after(workMs, () -> {
					if (stop(attempt)) {
						LoadReport load = new LoadReport(this.running.size(), this.waiting.size(), SLOTS);
						clock().after(NETWORK_MS, () -> attempt.onReply(load));
					}
				});
			}
		}

		private boolean stop(SentAttempt attempt) {
			this.waiting.remove(attempt);
			boolean ran = this.running.remove(attempt);
			if (ran) {
				HedgedServiceSimulation.this.workMs += clock().nowMs() - attempt.startedMs;
				startWaiting();
			}
			return ran;
		}

	}

	/** An attempt. */
	private final class SentAttempt {

		private final Request request;

		private final UpstreamState state;

		private final Upstream upstream;

		private final long sentMs = clock().nowMs();

		private long startedMs;

		private boolean ended;

		private SentAttempt(Request request, UpstreamState state) {
			this.request = request;
			this.state = state;
			this.upstream = HedgedServiceSimulation.this.upstreams
				.get(Integer.parseInt(state.entry().id().substring(1)));
			state.onSend(0);
			clock().after(NETWORK_MS, () -> this.upstream.admit(this));
		}

		private long elapsedMs() {
			return clock().nowMs() - this.sentMs;
		}

		private void end() {
			this.ended = true;
			this.state.onEnd();
		}

		private void cancel() {
			end();
			clock().after(NETWORK_MS, () -> this.upstream.stop(this));
		}

		private void onReply(LoadReport load) {
			if (!this.ended) {
				end();
				this.state.onReport(load, clock().nowMs());
				this.state.onHeard(clock().nowMs());
				this.request.onReply(this);
			}
		}

	}

	/** A request. */
	private final class Request {

		private final Vm vm;

		private final long arrivedMs = clock().nowMs();

		private final boolean measured = HedgedServiceSimulation.this.measuring;

		private final HedgedAttempts<SentAttempt> attempts = new HedgedAttempts<>();

		private final Map<SentAttempt, Boolean> isHedge = new HashMap<>();

		private boolean answered;

		private Request(Vm vm) {
			this.vm = vm;
		}

		private void start() {
			long now = clock().nowMs();
			this.vm.budget.onFirstAttempt(now);
			this.vm.retries.onArrival(now);
			HedgedServiceSimulation.this.firstAttempts += this.measured ? 1 : 0;
			SentAttempt first = send(this.vm.directory.candidates("s", now), false);
			if (HedgedServiceSimulation.this.share > 0) {
				this.vm.delays.delay(HedgedServiceSimulation.this.route, 0, now)
					.ifPresent((delay) -> clock().after(delay.afterMs(), () -> onSlow(first, delay.retryMs())));
			}
		}

		private SentAttempt send(List<UpstreamState> targets, boolean hedge) {
			UpstreamState state = LeastLoadedChooser.choose(targets, this.vm.domain, clock().nowMs(), (bound) -> 0)
				.orElseThrow()
				.upstream();
			SentAttempt attempt = new SentAttempt(this, state);
			this.isHedge.put(attempt, hedge);
			this.attempts.onSent(attempt);
			return attempt;
		}

		private void onSlow(SentAttempt slow, long retryMs) {
			long now = clock().nowMs();
			if (slow.ended || !this.attempts.mayHedge(slow)) {
				return;
			}
			List<UpstreamState> all = this.vm.directory.candidates("s", now);
			List<UpstreamState> free = HedgeTargets
				.withFreeSlot(HedgeTargets.from(all, Set.of(slow.state.entry().id()), now), now);
			Optional<HedgeDenial> denial = (free.isEmpty() || !HedgeTargets.hasFreeSlots(all, now))
					? Optional.of(HedgeDenial.NO_FREE_SLOTS)
					: this.vm.budget.tryAcquire(this.vm.retries, HedgedServiceSimulation.this.vms.size(), now);
			if (denial.isEmpty()) {
				this.vm.budget.onSent(now);
				this.vm.retries.onSent(now);
				HedgedServiceSimulation.this.hedges += this.measured ? 1 : 0;
				this.attempts.beginRace();
				send(HedgeTargets.inOtherDomain(free, slow.state.entry().failureDomain()), true);
			}
			else {
				clock().after(retryMs, () -> onSlow(slow, 2 * retryMs));
			}
		}

		private void onReply(SentAttempt winner) {
			HedgedServiceSimulation.this.extraReplies += this.answered ? 1 : 0;
			this.answered = true;
			Optional<SentAttempt> loser = this.attempts.onAnswered(winner);
			record(winner);
			loser.ifPresent((other) -> {
				record(other);
				if (!this.isHedge.getOrDefault(other, true)) {
					other.state.onSend(0);
					clock().after(HedgeDelay.countedMs(other.elapsedMs()), other.state::onEnd);
				}
				other.cancel();
			});
			if (this.measured) {
				HedgedServiceSimulation.this.latenciesMs.add(clock().nowMs() - this.arrivedMs);
			}
		}

		private void record(SentAttempt attempt) {
			if (!this.isHedge.getOrDefault(attempt, true)) {
				this.vm.delays.record(HedgedServiceSimulation.this.route, 0, attempt.elapsedMs(), clock().nowMs());
			}
		}

	}

}
