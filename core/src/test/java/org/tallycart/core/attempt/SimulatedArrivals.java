package org.tallycart.core.attempt;

import java.util.ArrayList;
import java.util.List;

/**
 * Times at which requests of one service, and their repeats, reach upstreams.
 * <p>
 * Invariant: times are added in ascending order. Not thread-safe.
 */
final class SimulatedArrivals {

	final List<Long> firstMs = new ArrayList<>();

	final List<Long> repeatedMs = new ArrayList<>();

	// The budget holds in each window that ends with a repeat, hence in every window.
	void check(String service, List<String> violations) {
		int first = 0;
		int firstOut = 0;
		int repeatOut = 0;
		for (int i = 0; i < this.repeatedMs.size(); i++) {
			long end = this.repeatedMs.get(i);
			while (first < this.firstMs.size() && this.firstMs.get(first) <= end) {
				first++;
			}
			while (firstOut < first && this.firstMs.get(firstOut) <= end - SimulatedVm.RETRY_WINDOW_MS) {
				firstOut++;
			}
			while (this.repeatedMs.get(repeatOut) <= end - SimulatedVm.RETRY_WINDOW_MS) {
				repeatOut++;
			}
			if (i + 1 - repeatOut > SimulatedVm.RETRY_RATIO * (first - firstOut) + SimulatedVm.RETRY_SLACK) {
				violations.add(end + " ms, service " + service + ": " + (i + 1 - repeatOut) + " repeats of "
						+ (first - firstOut) + " requests");
				return;
			}
		}
	}

}
