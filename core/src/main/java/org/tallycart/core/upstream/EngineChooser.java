package org.tallycart.core.upstream;

import java.util.Collection;
import java.util.Optional;

import org.tallycart.core.membership.RendezvousHash;
import org.tallycart.core.serving.LoadReport;
import org.tallycart.core.serving.Prompt;

/**
 * Chooses a model engine by where a prompt's shared parts have been read before.
 * <p>
 * Each session has a home engine by rendezvous hash, so that all VMs agree without a
 * message. A request goes elsewhere when the home's expected wait is longer by more than
 * what reading or copying the shared parts costs; then it copies them from the home.
 * <p>
 * Thread-safe: holds no state.
 *
 * @since 0.1
 */
public final class EngineChooser {

	/** What leaving the home costs at least, in milliseconds: a copy has to be set up. */
	private static final double LEAVE_MS = 30;

	/** Prompts that share fewer tokens are not worth a copy. */
	private static final int MIN_FETCH_TOKENS = 500;

	/** What a request that is ahead in an engine's queue adds, in milliseconds. */
	private static final double QUEUED_MS = 40;

	/** What a failing share of 1 adds to the expected wait, in milliseconds. */
	private static final double ERROR_MS = 2_000;

	private EngineChooser() {
	}

	/**
	 * Choose an engine.
	 * @param prompt what the request reads
	 * @param candidates engines that may get it
	 * @param nowMs the steady clock
	 * @return the choice, or empty if there is no candidate
	 */
	public static Optional<UpstreamChoice> choose(Prompt prompt, Collection<UpstreamState> candidates, long nowMs) {
		return RendezvousHash.first(prompt.model() + "/" + prompt.session(), candidates, UpstreamState::name)
			.map((home) -> leastWait(prompt, home, candidates, nowMs));
	}

	private static UpstreamChoice leastWait(Prompt prompt, UpstreamState home, Collection<UpstreamState> candidates,
			long nowMs) {
		UpstreamState best = home;
		double bestMs = waitMs(home, nowMs) - LEAVE_MS - PromptCost.sharedMs(prompt);
		for (UpstreamState other : candidates) {
			double otherMs = waitMs(other, nowMs);
			if (other != home && otherMs < bestMs) {
				best = other;
				bestMs = otherMs;
			}
		}
		UpstreamState source = (best != home) ? home : firstPartHome(prompt, candidates);
		int tokens = (best != home) ? prompt.sharedTokens() : prompt.firstPartTokens();
		boolean fetch = source != best && tokens >= MIN_FETCH_TOKENS && source.isUsable(nowMs);
		return new UpstreamChoice(best, fetch ? Optional.of(source) : Optional.empty());
	}

	// Sessions that share their first part copy it from one engine rather than have it
	// read
	// by each; an engine that holds it already copies nothing.
	private static UpstreamState firstPartHome(Prompt prompt, Collection<UpstreamState> candidates) {
		return RendezvousHash.first(prompt.model() + "/" + prompt.firstPart(), candidates, UpstreamState::name)
			.orElseThrow();
	}

	private static double waitMs(UpstreamState state, long nowMs) {
		int queued = state.report(nowMs).map(LoadReport::waiting).orElse(0);
		return state.readMsWaiting() + queued * QUEUED_MS + state.errorRate() * ERROR_MS;
	}

}
