package org.tallycart.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Predicate;

/**
 * Limits for upstreams that fail if they have to reject more than a few requests a
 * second: a rejection sets a limit on the requests that all VMs together send, and
 * replies raise it again (multiplicative increase and decrease).
 * <p>
 * After the first rejection the limit is the tolerated number of rejections, so that the
 * upstream cannot have to reject more, whatever room it has. Any VM may lower or raise a
 * limit; the limits are distributed as stated ones are, and each VM reports all changes
 * here.
 * <p>
 * Not thread-safe: belongs to one event loop.
 *
 * @since 0.1
 */
public final class RejectionControl {

	/** Factor on a limit after a rejection. */
	private static final double DECREASE = 0.5;

	/** Factor on a limit after a time without rejections. */
	private static final double INCREASE = 1.25;

	/** Time between two increases, in milliseconds. */
	static final long INCREASE_INTERVAL_MS = 500;

	/**
	 * Time after a decrease in which rejections do not count, in milliseconds: other VMs
	 * may have sent the requests before they knew of it.
	 */
	static final long SETTLE_MS = 300;

	/** Share of the limit at the last rejection up to which the limit is raised. */
	private static final double CEILING_SHARE = 0.9;

	/** Time after a decrease for which that share applies, in milliseconds. */
	static final long CEILING_MS = 10_000;

	/** Limit from which no limit is needed, in requests per second. */
	private static final double MAX_PER_SECOND = 1_000;

	/** Minimum limit, in requests per second. */
	private static final double MIN_PER_SECOND = 0.5;

	private final Map<String, Track> tracks = new HashMap<>();

	/**
	 * Record a rejection of a request by an upstream for want of room.
	 * @param incarnation the upstream's incarnation
	 * @param tolerated the rejections per second that it tolerates from all VMs together
	 * @param current its limit in requests per second; empty if there is none
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return the new limit; empty if the limit stays
	 */
	public OptionalDouble onRejection(String incarnation, double tolerated, OptionalDouble current, long nowMs) {
		Track track = this.tracks.get(incarnation);
		if (track != null && nowMs - track.decreasedMs < SETTLE_MS) {
			return OptionalDouble.empty();
		}
		double lowered = current.isPresent() ? current.getAsDouble() * DECREASE : tolerated;
		return OptionalDouble.of(Math.max(lowered, MIN_PER_SECOND));
	}

	/**
	 * Record that an upstream with a limit of this kind has served a request.
	 * @param incarnation the upstream's incarnation
	 * @param perSecond its limit in requests per second
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return the new limit, which is empty if none is needed any more; empty if the
	 * limit stays
	 */
	public Optional<OptionalDouble> onServed(String incarnation, double perSecond, long nowMs) {
		Track track = this.tracks.get(incarnation);
		if (track != null && nowMs - track.changedMs < INCREASE_INTERVAL_MS) {
			return Optional.empty();
		}
		double raised = perSecond * INCREASE;
		boolean atCeiling = track != null && nowMs - track.decreasedMs < CEILING_MS
				&& raised > track.ceiling * CEILING_SHARE;
		if (atCeiling) {
			return Optional.empty();
		}
		return Optional.of((raised > MAX_PER_SECOND) ? OptionalDouble.empty() : OptionalDouble.of(raised));
	}

	/**
	 * Record the change of an upstream's limit by any VM.
	 * @param incarnation the upstream's incarnation
	 * @param previous the limit before, in requests per second; empty if there was none
	 * @param updated the new limit in requests per second; empty if there is none
	 * @param nowMs the current monotonic time, in milliseconds
	 */
	public void onChange(String incarnation, OptionalDouble previous, OptionalDouble updated, long nowMs) {
		if (updated.isEmpty()) {
			this.tracks.remove(incarnation);
			return;
		}
		Track track = this.tracks.computeIfAbsent(incarnation, (key) -> new Track());
		track.changedMs = nowMs;
		if (previous.isEmpty() || updated.getAsDouble() < previous.getAsDouble()) {
			track.decreasedMs = nowMs;
			track.ceiling = previous.orElse(Double.MAX_VALUE);
		}
	}

	/**
	 * Drop the state of upstreams that no longer exist.
	 * @param listed tests whether an incarnation still exists
	 */
	public void expire(Predicate<String> listed) {
		this.tracks.keySet().removeIf((incarnation) -> !listed.test(incarnation));
	}

	/** The changes of one upstream's limit. */
	private static final class Track {

		private long changedMs;

		private long decreasedMs = Long.MIN_VALUE / 2;

		private double ceiling = Double.MAX_VALUE;

	}

}
