package org.tallycart.core.stream;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * The software versions of one service that have served lately, for VMs that have just
 * started.
 * <p>
 * Immutable and thread-safe.
 *
 * @param unlistedMs the versions, each with the time at which its last upstream was
 * unlisted, in milliseconds since the epoch; empty while there are upstreams of it
 * @since 0.1
 */
public record VersionHistory(Map<String, OptionalLong> unlistedMs) {

	/** A history without any version. */
	public static final VersionHistory EMPTY = new VersionHistory(Map.of());

	/**
	 * Time for which versions are retained after they were unlisted, in milliseconds;
	 * longer than any stream and the differences between clocks.
	 */
	private static final long RETAINED_MS = 600_000;

	/**
	 * Create a history.
	 * @param unlistedMs the versions
	 */
	public VersionHistory {
		unlistedMs = Map.copyOf(unlistedMs);
	}

	/**
	 * Return the only version that has served since a given time.
	 * @param sinceMs milliseconds since the epoch
	 * @return the version; empty if there was none or several
	 */
	public Optional<String> onlyVersionSince(long sinceMs) {
		Set<String> served = this.unlistedMs.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().orElse(Long.MAX_VALUE) >= sinceMs)
			.map(Map.Entry::getKey)
			.collect(Collectors.toSet());
		return (served.size() == 1) ? served.stream().findFirst() : Optional.empty();
	}

	/**
	 * Return this history with the versions that are listed now.
	 * @param listed all versions that have upstreams
	 * @param nowMs the current time, in milliseconds since the epoch
	 * @return the history
	 */
	public VersionHistory updated(Set<String> listed, long nowMs) {
		Map<String, OptionalLong> updated = new TreeMap<>();
		this.unlistedMs.forEach((version, unlisted) -> {
			long atMs = unlisted.orElse(nowMs);
			if (nowMs - atMs <= RETAINED_MS) {
				updated.put(version, OptionalLong.of(atMs));
			}
		});
		listed.forEach((version) -> updated.put(version, OptionalLong.empty()));
		return new VersionHistory(updated);
	}

}
