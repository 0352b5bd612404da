package org.tallycart.core.upstream;

import java.util.Collection;

import org.tallycart.core.serving.LoadReport;

/**
 * Tells whether upstreams are known to differ in speed. Without such knowledge a choice
 * among them depends on counts only.
 * <p>
 * Thread-safe: holds no state.
 */
final class UnevenUpstreams {

	private UnevenUpstreams() {
	}

	/**
	 * Return whether any upstream is believed to work at another than the usual speed.
	 * @param candidates the upstreams
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return false if none has stated a slowdown, or all have faded
	 */
	static boolean among(Collection<UpstreamState> candidates, long nowMs) {
		for (UpstreamState state : candidates) {
			if (state.slowdown(nowMs) != LoadReport.USUAL_SLOWDOWN) {
				return true;
			}
		}
		return false;
	}

}
