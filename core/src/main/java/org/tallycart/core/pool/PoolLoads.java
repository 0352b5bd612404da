package org.tallycart.core.pool;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Latest loads of the pools, as their dispatchers have stated them to this VM.
 * <p>
 * Invariant: a load that is older than {@link #MAX_AGE_MS} is never returned. Not
 * thread-safe: confined to one event loop.
 *
 * @since 0.1
 */
public final class PoolLoads {

	/**
	 * Age up to which a load is used, in milliseconds: several heartbeats may be lost
	 * before a VM decides without it.
	 */
	public static final long MAX_AGE_MS = 1_000;

	private final Map<String, StatedLoad> loads = new HashMap<>();

	/**
	 * Record a load.
	 * @param load the load
	 * @param nowMs current time on the monotonic clock, in milliseconds
	 */
	public void update(PoolLoad load, long nowMs) {
		this.loads.put(load.service(), new StatedLoad(load, nowMs));
	}

	/**
	 * Return the latest load of a pool.
	 * @param service the name of the pool
	 * @param nowMs current time on the monotonic clock, in milliseconds
	 * @return the load; empty if there is none or it is too old
	 */
	public Optional<PoolLoad> latest(String service, long nowMs) {
		return Optional.ofNullable(this.loads.get(service))
			.filter((stated) -> nowMs - stated.atMs() <= MAX_AGE_MS)
			.map(StatedLoad::load);
	}

	/**
	 * Load with its age.
	 *
	 * @param load the load
	 * @param atMs the time at which it was received, on the monotonic clock
	 */
	private record StatedLoad(PoolLoad load, long atMs) {
	}

}
