package org.tallycart.node.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.tallycart.core.limit.Permit;
import org.tallycart.core.upstream.EngineChooser;
import org.tallycart.core.upstream.LeastLoadedChooser;
import org.tallycart.core.upstream.UpstreamChoice;
import org.tallycart.core.upstream.UpstreamState;
import org.tallycart.node.statement.PermitService;

/**
 * Picks the upstream for the next send of one request, and gets the permit for it where
 * the upstream has named a limit.
 * <p>
 * Invariants: the owner hears once of each pick, at once or later, and of nothing after a
 * stop; an upstream that was tried is picked again only if there is no other. Not
 * thread-safe: belongs to the event loop.
 */
final class UpstreamPicker {

	/**
	 * Part of the time until an answer is late that a request may wait for its turn at an
	 * upstream that has named a limit: the turn is certain, and the other half is left to
	 * run.
	 */
	private static final double PATIENCE_SHARE = 0.5;

	/** Longest such wait, in milliseconds; a caller that comes back later costs less. */
	private static final long MOST_PATIENCE_MS = 1_000;

	private final ServingContext serving;

	private final PermitService permits;

	private final RequestPlan plan;

	private final Listener owner;

	private final Set<String> tried = new HashSet<>();

	private final Set<String> denied = new HashSet<>();

	private boolean stopped;

	UpstreamPicker(ServingContext serving, RequestPlan plan, Listener owner) {
		this.serving = serving;
		this.permits = serving.permits();
		this.plan = plan;
		this.owner = owner;
	}

	private long now() {
		return this.serving.loop().nowMs();
	}

	/** Pick an upstream, and count it as tried. */
	void pick() {
		this.denied.clear();
		pickNext();
	}

	private void pickNext() {
		List<UpstreamState> open = open();
		long patienceMs = patienceMs(open);
		open.removeIf((state) -> this.permits.nextPermitInMs(state.entry()) > patienceMs);
		Optional<UpstreamChoice> choice = choose(open);
		if (choice.isEmpty()) {
			this.owner.onNonePicked();
		}
		else if (this.permits.hasLimit(choice.get().upstream().entry())) {
			this.permits.acquire(choice.get().upstream().entry(), patienceMs,
					(permit) -> onPermit(choice.get(), permit));
		}
		else {
			take(choice.get());
		}
	}

	// Those that have not denied a permit for this send.
	private List<UpstreamState> open() {
		List<UpstreamState> open = new ArrayList<>(this.serving.candidates(this.plan.service()));
		open.removeIf((state) -> this.denied.contains(state.entry().id()));
		return open;
	}

	// Where another upstream may get the request now, none is worth waiting for.
	private long patienceMs(List<UpstreamState> open) {
		if (open.stream().anyMatch((state) -> !this.permits.hasLimit(state.entry()))) {
			return 0;
		}
		long untilLateMs = Math.max(this.plan.objectiveMs() - now(), 0);
		return Math.min((long) (untilLateMs * PATIENCE_SHARE), MOST_PATIENCE_MS);
	}

	private Optional<UpstreamChoice> choose(List<UpstreamState> usable) {
		List<UpstreamState> fresh = new ArrayList<>(usable);
		fresh.removeIf((state) -> this.tried.contains(state.entry().id()));
		List<UpstreamState> from = fresh.isEmpty() ? usable : fresh;
		if (this.plan.request().prompt().isPresent()) {
			return EngineChooser.choose(this.plan.request().prompt().get(), from, now());
		}
		return LeastLoadedChooser.choose(from, this.serving.failureDomain(), now());
	}

	private void onPermit(UpstreamChoice choice, Permit permit) {
		if (!permit.granted()) {
			deny(choice);
		}
		else if (permit.waitMs() > 0) {
			this.serving.loop().schedule(permit.waitMs(), () -> takeIfUsable(choice));
		}
		else {
			takeIfUsable(choice);
		}
	}

	private void takeIfUsable(UpstreamChoice choice) {
		if (choice.upstream().isUsable(now())) {
			take(choice);
		}
		else {
			deny(choice);
		}
	}

	private void deny(UpstreamChoice choice) {
		this.denied.add(choice.upstream().entry().id());
		if (!this.stopped) {
			pickNext();
		}
	}

	private void take(UpstreamChoice choice) {
		if (!this.stopped) {
			this.tried.add(choice.upstream().entry().id());
			this.owner.onPicked(choice);
		}
	}

	/**
	 * Take note that an upstream was not at fault and may be picked again.
	 * @param id the upstream
	 */
	void retry(String id) {
		this.tried.remove(id);
	}

	/**
	 * Return how many upstreams were tried.
	 * @return the count
	 */
	int tried() {
		return this.tried.size();
	}

	/** Stop: a permit that comes later is not used. */
	void stop() {
		this.stopped = true;
	}

	/**
	 * Return when the first upstream takes another request.
	 * @return milliseconds from now; 0 unless their limits keep the request from all
	 */
	long turnInMs() {
		return this.serving.candidates(this.plan.service())
			.stream()
			.mapToLong((state) -> this.permits.nextPermitInMs(state.entry()))
			.min()
			.orElse(0);
	}

	/** Hears of what is picked. */
	interface Listener {

		/**
		 * Take the upstream that was picked; a permit for it is to be used at once.
		 * @param choice the upstream
		 */
		void onPicked(UpstreamChoice choice);

		/** Take note that no upstream may get the request now. */
		void onNonePicked();

	}

}
