package org.tallycart.core.upstream;

import java.util.Collection;
import java.util.Objects;
import java.util.Optional;

import org.jspecify.annotations.Nullable;
import org.tallycart.core.membership.RendezvousHash;
import org.tallycart.core.routing.RandomSource;
import org.tallycart.core.serving.LoadReport;
import org.tallycart.core.serving.Prompt;

/**
 * Chooses a model engine by cache affinity: it prefers the engine that already holds the
 * shared parts of a prompt.
 * <p>
 * Each session has a home engine by rendezvous hash, so all VMs agree without
 * coordination. A request goes to another engine when the home's expected wait is longer
 * by more than the cost of prefilling or copying the shared parts; that engine then
 * copies them from the home. Where engines state how long work takes there, the expected
 * time to the first token decides, and one of the engines with nearly the shortest is
 * drawn at random. Parts are copied only between engines of one software version, each of
 * which has a home of its own for a session.
 * <p>
 * Thread-safe: holds no state.
 *
 * @since 0.1
 */
public final class EngineChooser {

	/**
	 * Minimum cost of using another engine than the home, in milliseconds: the setup of a
	 * copy.
	 */
	private static final double MIN_TRANSFER_MS = 30;

	/** Minimum number of shared tokens for which a copy is made. */
	private static final int MIN_FETCH_TOKENS = 500;

	/** Expected wait for each request in an engine's queue, in milliseconds. */
	private static final double QUEUED_REQUEST_MS = 40;

	/** Penalty on the expected wait at an error rate of 1, in milliseconds. */
	private static final double ERROR_RATE_MS = 2_000;

	/**
	 * Difference of expected times below which an engine is as good as another, in
	 * milliseconds: about one request that another VM has sent meanwhile.
	 */
	private static final double TIE_MS = 40;

	private EngineChooser() {
	}

	/**
	 * Choose an engine.
	 * @param prompt the prompt of the request
	 * @param cost the cost of prompts at these engines
	 * @param candidates the engines that may receive the request
	 * @param nowMs the current monotonic time, in milliseconds
	 * @param random draws one of several engines that are as good as each other
	 * @return the choice; empty if there is no candidate
	 */
	public static Optional<UpstreamChoice> choose(Prompt prompt, PromptCost cost, Collection<UpstreamState> candidates,
			long nowMs, RandomSource random) {
		if (candidates.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(new Comparison(prompt, cost, nowMs).chooseFrom(candidates, random));
	}

	/**
	 * A comparison of all candidates for one prompt, in one pass.
	 * <p>
	 * Not thread-safe.
	 */
	private static final class Comparison {

		private final Prompt prompt;

		private final long nowMs;

		private final double sharedMs;

		private final double firstTokenMs;

		private final HomeSearch session;

		private final HomeSearch firstPart;

		private @Nullable UpstreamState quickest;

		private double quickestMs;

		private boolean uneven;

		Comparison(Prompt prompt, PromptCost cost, long nowMs) {
			this.prompt = prompt;
			this.nowMs = nowMs;
			this.sharedMs = cost.sharedPrefillMs(prompt);
			this.firstTokenMs = cost.firstTokenMs(prompt);
			this.session = new HomeSearch(prompt.model(), prompt.session());
			this.firstPart = new HomeSearch(prompt.model(), prompt.firstPart());
		}

		UpstreamChoice chooseFrom(Collection<UpstreamState> candidates, RandomSource random) {
			for (UpstreamState state : candidates) {
				this.session.add(state);
				this.firstPart.add(state);
				double waitMs = expectedMs(state);
				if (this.quickest == null || waitMs < this.quickestMs) {
					this.quickest = state;
					this.quickestMs = waitMs;
				}
			}
			UpstreamState home = this.session.home();
			double homeMs = expectedMs(home) - MIN_TRANSFER_MS - this.sharedMs;
			UpstreamState best = home;
			if (this.quickest != null && this.quickestMs < homeMs) {
				best = this.uneven ? drawQuick(this.quickest, homeMs, candidates, random) : this.quickest;
			}
			return new UpstreamChoice(best, findSource(best, candidates));
		}

		// Other VMs see the same slowdowns and would choose the same engine.
		private UpstreamState drawQuick(UpstreamState quickest, double homeMs, Collection<UpstreamState> candidates,
				RandomSource random) {
			double limitMs = Math.min(this.quickestMs + TIE_MS, homeMs);
			UpstreamState drawn = quickest;
			int count = 0;
			for (UpstreamState state : candidates) {
				if (expectedMs(state) < limitMs) {
					count++;
					drawn = (random.nextInt(count) == 0) ? state : drawn;
				}
			}
			return drawn;
		}

		// Without the part that is the same at all engines of usual speed.
		private double expectedMs(UpstreamState state) {
			double waitMs = state.pendingPrefillMs() + state.reportedWaiting(this.nowMs) * QUEUED_REQUEST_MS;
			double slowdown = state.slowdown(this.nowMs);
			double expectedMs = waitMs + state.errorRate() * ERROR_RATE_MS;
			if (slowdown != LoadReport.USUAL_SLOWDOWN) {
				this.uneven = true;
				expectedMs += (slowdown - LoadReport.USUAL_SLOWDOWN) * (waitMs + this.firstTokenMs);
			}
			return expectedMs;
		}

		private Optional<UpstreamState> findSource(UpstreamState best, Collection<UpstreamState> candidates) {
			UpstreamState home = homeOfVersion(this.session, best, candidates);
			boolean atHome = best == home;
			int tokens = atHome ? this.prompt.firstPartTokens() : this.prompt.sharedTokens();
			if (tokens < MIN_FETCH_TOKENS) {
				return Optional.empty();
			}
			// Sessions with the same first part copy it from one engine, instead of a
			// prefill on each engine. The home of the first part itself copies nothing.
			UpstreamState source = atHome ? homeOfVersion(this.firstPart, best, candidates) : home;
			return (source != best && source.isUsable(this.nowMs)) ? Optional.of(source) : Optional.empty();
		}

		// The home among all versions is also the home among those of its own version.
		private static UpstreamState homeOfVersion(HomeSearch all, UpstreamState best,
				Collection<UpstreamState> candidates) {
			String version = best.entry().softwareVersion();
			if (all.home().entry().softwareVersion().equals(version)) {
				return all.home();
			}
			HomeSearch compatible = new HomeSearch(all.seed);
			for (UpstreamState state : candidates) {
				if (state.entry().softwareVersion().equals(version)) {
					compatible.add(state);
				}
			}
			return compatible.home();
		}

	}

	/**
	 * Search for the home of a part: the candidate that ranks first for it.
	 * <p>
	 * Not thread-safe.
	 */
	private static final class HomeSearch {

		private final long seed;

		private long weight = Long.MIN_VALUE;

		private @Nullable UpstreamState home;

		HomeSearch(String model, String part) {
			this(RendezvousHash.seed(model + "/" + part));
		}

		HomeSearch(long seed) {
			this.seed = seed;
		}

		void add(UpstreamState state) {
			long candidate = RendezvousHash.weight(this.seed, state.nameHash());
			if (candidate > this.weight || candidate == this.weight && isGreater(state)) {
				this.home = state;
				this.weight = candidate;
			}
		}

		private boolean isGreater(UpstreamState state) {
			return this.home == null || state.name().name().compareTo(this.home.name().name()) > 0;
		}

		UpstreamState home() {
			return Objects.requireNonNull(this.home);
		}

	}

}
