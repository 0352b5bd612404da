package org.tallycart.core.upstream;

import java.util.Collection;
import java.util.Optional;

import org.tallycart.core.membership.RendezvousHash;
import org.tallycart.core.serving.LoadReport;
import org.tallycart.core.serving.Prompt;

/**
 * Chooses a model engine by cache affinity: it prefers the engine that already holds the
 * shared parts of a prompt.
 * <p>
 * Each session has a home engine by rendezvous hash, so all VMs agree without
 * coordination. A request goes to another engine when the home's expected wait is longer
 * by more than the cost of prefilling or copying the shared parts; that engine then
 * copies them from the home. Parts are copied only between engines of one software
 * version, each of which has a home of its own for a session.
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

	private EngineChooser() {
	}

	/**
	 * Choose an engine.
	 * @param prompt the prompt of the request
	 * @param candidates the engines that may receive the request
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return the choice; empty if there is no candidate
	 */
	public static Optional<UpstreamChoice> choose(Prompt prompt, Collection<UpstreamState> candidates, long nowMs) {
		return RendezvousHash.first(prompt.model() + "/" + prompt.session(), candidates, UpstreamState::name)
			.map((home) -> chooseLeastWait(prompt, home, candidates, nowMs));
	}

	private static UpstreamChoice chooseLeastWait(Prompt prompt, UpstreamState home,
			Collection<UpstreamState> candidates, long nowMs) {
		UpstreamState best = home;
		double bestMs = expectedWaitMs(home, nowMs) - MIN_TRANSFER_MS - PromptCost.sharedPrefillMs(prompt);
		for (UpstreamState other : candidates) {
			double otherMs = expectedWaitMs(other, nowMs);
			if (other != home && otherMs < bestMs) {
				best = other;
				bestMs = otherMs;
			}
		}
		return new UpstreamChoice(best, findSource(prompt, best, candidates, nowMs));
	}

	private static Optional<UpstreamState> findSource(Prompt prompt, UpstreamState best,
			Collection<UpstreamState> candidates, long nowMs) {
		Collection<UpstreamState> compatible = ofSameVersion(best, candidates);
		UpstreamState home = home(prompt, prompt.session(), compatible);
		UpstreamState source = (best != home) ? home : home(prompt, prompt.firstPart(), compatible);
		int tokens = (best != home) ? prompt.sharedTokens() : prompt.firstPartTokens();
		boolean fetch = source != best && tokens >= MIN_FETCH_TOKENS && source.isUsable(nowMs);
		return fetch ? Optional.of(source) : Optional.empty();
	}

	private static Collection<UpstreamState> ofSameVersion(UpstreamState engine, Collection<UpstreamState> candidates) {
		String version = engine.entry().softwareVersion();
		return candidates.stream().filter((state) -> state.entry().softwareVersion().equals(version)).toList();
	}

	// Sessions with the same first part copy it from one engine, instead of a prefill on
	// each engine. The home of the first part itself copies nothing.
	private static UpstreamState home(Prompt prompt, String part, Collection<UpstreamState> candidates) {
		return RendezvousHash.first(prompt.model() + "/" + part, candidates, UpstreamState::name).orElseThrow();
	}

	private static double expectedWaitMs(UpstreamState state, long nowMs) {
		int queued = state.report(nowMs).map(LoadReport::waiting).orElse(0);
		return state.pendingPrefillMs() + queued * QUEUED_REQUEST_MS + state.errorRate() * ERROR_RATE_MS;
	}

}
