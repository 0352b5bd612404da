package org.tallycart.core.attempt;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The recorder of what becomes of the requests of a simulated fleet.
 * <p>
 * Invariant: it records what callers and upstreams see, not the state of the classes
 * under test. Not thread-safe.
 */
final class SimulationRecorder {

	final Map<String, SimulatedArrivals> arrivals = Map.of(SilentUpstreamsSimulation.ENGINE, new SimulatedArrivals(),
			SilentUpstreamsSimulation.PLAIN, new SimulatedArrivals());

	final List<SimulatedRequest> requests = new ArrayList<>();

	/** What must not occur. */
	final List<String> violations = new ArrayList<>();

	private final VirtualClock clock;

	SimulationRecorder(VirtualClock clock) {
		this.clock = clock;
	}

	/** Check the requests, all of which have ended, and their arrivals at upstreams. */
	void check() {
		for (SimulatedRequest request : this.requests) {
			if (request.ends != 1) {
				violation(request, "ended " + request.ends + " times");
			}
		}
		this.arrivals.forEach((service, counted) -> counted.check(service, this.violations));
	}

	void violation(SimulatedRequest request, String what) {
		this.violations.add(this.clock.nowMs() + " ms, " + request + ": " + what);
	}

	long streams(SimulatedRequest.Outcome outcome) {
		return this.requests.stream().filter((request) -> request.stream && request.outcome == outcome).count();
	}

	/**
	 * Return the share of streams that were served whole, of those that neither a crash,
	 * an upstream that is gone or unwilling nor the stop of a VM has touched.
	 * @return the share
	 */
	double servedShare() {
		List<SimulatedRequest> counted = this.requests.stream()
			.filter((request) -> request.stream && !request.touchedByFailure && !request.touchedByRejection
					&& !request.vm.hasStopped)
			.toList();
		return (double) counted.stream().filter((request) -> request.outcome == SimulatedRequest.Outcome.WHOLE).count()
				/ counted.size();
	}

	/**
	 * Return the share of streams that went on elsewhere in time, of those whose upstream
	 * is gone without a word.
	 * @param sentLater whether they were sent to it when it was gone already
	 * @param boundMs the time within which they have to go on
	 * @return the share; 1 if there are none
	 */
	double continuedShare(boolean sentLater, long boundMs) {
		List<SimulatedRequest> lost = lost(sentLater);
		long inTime = lost.stream()
			.filter((request) -> request.continuedAtMs >= 0 && request.continuedAtMs - request.goneAtMs <= boundMs)
			.count();
		return lost.isEmpty() ? 1 : (double) inTime / lost.size();
	}

	long lostStreams(boolean sentLater) {
		return lost(sentLater).size();
	}

	private List<SimulatedRequest> lost(boolean sentLater) {
		return this.requests.stream()
			.filter((request) -> request.goneAtMs >= 0 && request.sentToGone == sentLater)
			.toList();
	}

	int repeats() {
		return this.arrivals.values().stream().mapToInt((counted) -> counted.repeatedMs.size()).sum();
	}

}
