package org.tallycart.node.request;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

import org.tallycart.core.attempt.HedgeDenial;
import org.tallycart.core.limit.Permit;
import org.tallycart.core.upstream.CandidateList;
import org.tallycart.core.upstream.EngineChooser;
import org.tallycart.core.upstream.HedgeTargets;
import org.tallycart.core.upstream.LeastLoadedChooser;
import org.tallycart.core.upstream.UpstreamChoice;
import org.tallycart.core.upstream.UpstreamState;
import org.tallycart.node.statement.PermitService;

/**
 * Picks the upstream for the next attempt of one request, and acquires a permit if the
 * upstream has a stated limit.
 * <p>
 * Invariants: the listener gets one callback per pick, synchronously or later, and none
 * for a pick that was cancelled; an upstream that was tried is picked again only if there
 * is no other. Not thread-safe: confined to the event loop.
 */
final class UpstreamPicker {

	/**
	 * Share of the time until the objective that a request may wait for a permit; the
	 * rest is left to run it.
	 */
	private static final double MAX_WAIT_SHARE = 0.5;

	/**
	 * Longest wait for a permit, in milliseconds. A caller that returns later costs less
	 * than a longer wait.
	 */
	private static final long MAX_WAIT_MS = 1_000;

	private final ServingContext context;

	private final PermitService permits;

	private final RequestPlan plan;

	private final CandidateUpstreams candidates;

	private final Listener listener;

	private Supplier<List<UpstreamState>> source;

	private boolean prefersHeard;

	/** The upstream of a slow attempt, beside which an upstream is picked. */
	private Optional<UpstreamState> slow = Optional.empty();

	private final Set<String> tried = new HashSet<>();

	private final Set<String> denied = new HashSet<>();

	private long pickNumber;

	UpstreamPicker(ServingContext context, RequestPlan plan, CandidateUpstreams candidates, Listener listener) {
		this.context = context;
		this.permits = context.permits();
		this.plan = plan;
		this.candidates = candidates;
		this.listener = listener;
		this.source = candidates::now;
	}

	private long now() {
		return this.context.loop().nowMs();
	}

	/** Pick an upstream and mark it as tried; the listener gets the result. */
	void pick() {
		this.prefersHeard = false;
		this.slow = Optional.empty();
		pickFrom(this.candidates::now);
	}

	/**
	 * Pick an upstream that was not tried and is not silent, for an attempt beside
	 * another one; the listener gets the result. Upstreams that have sent something to
	 * this VM a moment ago take precedence.
	 */
	void pickHedge() {
		this.prefersHeard = true;
		this.slow = Optional.empty();
		pickFrom(this::hedgeCandidates);
	}

	/**
	 * Pick an upstream with a free slot as {@link #pickHedge()} does, beside a slow
	 * attempt; the listener gets the result. Upstreams of another failure domain take
	 * precedence.
	 * @param upstream the upstream of the slow attempt
	 */
	void pickSlowHedge(UpstreamState upstream) {
		this.prefersHeard = true;
		this.slow = Optional.of(upstream);
		pickFrom(this::freeHedgeCandidates);
	}

	/**
	 * Return why there is no upstream for an attempt beside a slow one.
	 * @return the reason; empty if there is an upstream
	 */
	Optional<HedgeDenial> slowHedgeDenial() {
		List<UpstreamState> targets = hedgeCandidates();
		if (targets.isEmpty()) {
			return Optional.of(HedgeDenial.NO_UPSTREAM);
		}
		boolean free = !HedgeTargets.withFreeSlot(targets, now()).isEmpty()
				&& HedgeTargets.hasFreeSlots(this.candidates.evenIfCold(), now());
		return free ? Optional.empty() : Optional.of(HedgeDenial.NO_FREE_SLOTS);
	}

	private List<UpstreamState> freeHedgeCandidates() {
		return HedgeTargets.withFreeSlot(hedgeCandidates(), now());
	}

	/**
	 * Return whether there may be an upstream for an attempt beside another one.
	 * @return false if all have been tried or are silent
	 */
	boolean hasHedgeCandidate() {
		return !hedgeCandidates().isEmpty();
	}

	private List<UpstreamState> hedgeCandidates() {
		return HedgeTargets.from(this.candidates.now(), this.tried, now());
	}

	private void pickFrom(Supplier<List<UpstreamState>> source) {
		this.denied.clear();
		this.source = source;
		this.pickNumber++;
		pickNext();
	}

	private void pickNext() {
		long number = this.pickNumber;
		List<UpstreamState> eligible = eligible();
		long maxWaitMs = maxWaitMs(eligible);
		Optional<UpstreamChoice> choice = choose(
				CandidateList.without(eligible, (state) -> this.permits.nextPermitInMs(state.entry()) > maxWaitMs));
		if (choice.isEmpty()) {
			this.listener.onNoUpstream();
		}
		else if (this.permits.hasLimit(choice.get().upstream().entry())) {
			this.permits.acquire(choice.get().upstream().entry(), maxWaitMs,
					(permit) -> onPermit(choice.get(), permit, number));
		}
		else {
			accept(choice.get(), number);
		}
	}

	// Candidates for which no permit was denied during this pick.
	private List<UpstreamState> eligible() {
		List<UpstreamState> from = this.source.get();
		return this.denied.isEmpty() ? from
				: CandidateList.without(from, (state) -> this.denied.contains(state.entry().id()));
	}

	// No wait if any upstream has no stated limit, nor beside a slow attempt.
	private long maxWaitMs(List<UpstreamState> eligible) {
		if (this.slow.isPresent()) {
			return 0;
		}
		for (UpstreamState state : eligible) {
			if (!this.permits.hasLimit(state.entry())) {
				return 0;
			}
		}
		long untilObjectiveMs = Math.max(this.plan.objectiveMs() - now(), 0);
		return Math.min((long) (untilObjectiveMs * MAX_WAIT_SHARE), MAX_WAIT_MS);
	}

	private Optional<UpstreamChoice> choose(List<UpstreamState> usable) {
		List<UpstreamState> untried = this.tried.isEmpty() ? usable
				: CandidateList.without(usable, (state) -> this.tried.contains(state.entry().id()));
		List<UpstreamState> from = preferred(untried.isEmpty() ? usable : untried);
		if (this.plan.request().prompt().isPresent()) {
			return EngineChooser.choose(this.plan.request().prompt().get(),
					this.context.readingSpeeds().cost(this.plan.service()), from, now(), this.context.random());
		}
		return LeastLoadedChooser.choose(from, this.context.failureDomain(), now(), this.context.random());
	}

	private List<UpstreamState> preferred(List<UpstreamState> all) {
		List<UpstreamState> targets = this.slow
			.map((upstream) -> HedgeTargets.inOtherDomain(all, upstream.entry().failureDomain()))
			.orElse(all);
		long recentMs = SilenceLimits.of(this.plan.route(), true).subsequentMs();
		return this.prefersHeard ? HedgeTargets.preferred(targets, recentMs, now()) : targets;
	}

	private void onPermit(UpstreamChoice choice, Permit permit, long number) {
		if (!permit.granted()) {
			onDenied(choice, number);
		}
		else if (permit.waitMs() > 0) {
			this.context.loop().schedule(permit.waitMs(), () -> acceptIfUsable(choice, number));
		}
		else {
			acceptIfUsable(choice, number);
		}
	}

	private void acceptIfUsable(UpstreamChoice choice, long number) {
		if (this.source.get().contains(choice.upstream())) {
			accept(choice, number);
		}
		else {
			onDenied(choice, number);
		}
	}

	private void onDenied(UpstreamChoice choice, long number) {
		if (number == this.pickNumber) {
			this.denied.add(choice.upstream().entry().id());
			pickNext();
		}
	}

	private void accept(UpstreamChoice choice, long number) {
		if (number == this.pickNumber) {
			this.tried.add(choice.upstream().entry().id());
			this.listener.onPicked(choice);
		}
	}

	/**
	 * Treat an upstream as not yet tried, after a failure that was not its fault.
	 * @param id the id of the upstream
	 */
	void allowAgain(String id) {
		this.tried.remove(id);
	}

	/** Cancel the pick; a permit that is granted later is not used. */
	void cancel() {
		this.pickNumber++;
	}

	/**
	 * Return when the first upstream may have a permit available.
	 * @return milliseconds from now; 0 unless all upstreams are at their stated limit
	 */
	long nextPermitInMs() {
		return this.candidates.now()
			.stream()
			.mapToLong((state) -> this.permits.nextPermitInMs(state.entry()))
			.min()
			.orElse(0);
	}

	/** Callbacks of a pick. */
	interface Listener {

		/**
		 * Handle a pick. A permit for the upstream has to be used at once.
		 * @param choice the upstream
		 */
		void onPicked(UpstreamChoice choice);

		/** Handle a pick for which no upstream can take the request now. */
		void onNoUpstream();

	}

}
