package org.tallycart.core.pool;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.tallycart.core.outcome.InvariantViolation;

/**
 * The calls of a pool that are in progress, and what is noticed of them before they end.
 * <p>
 * Invariant: each call ends once, and is found once to be overdue and once to have read
 * its inputs at most. Not thread-safe: guarded by {@link PoolDispatcher}.
 */
final class RunningCalls {

	/** A call is overdue after this many times its expected length, plus a margin. */
	private static final double OVERDUE_FACTOR = 1.8;

	/** Margin for the network and for pieces that take longer than the average. */
	private static final double OVERDUE_MARGIN_MS = 120;

	/**
	 * When a worker has read the inputs of a call that it began at once, in milliseconds:
	 * the inputs of a full call cross its link in about 10 ms, and the way there and a
	 * slow link take some more. A call takes 200 ms and longer.
	 * <p>
	 * Inputs that are given back then, and not at the end of the call, hold their makers'
	 * room a quarter of a second less. In a burst on three chained pools that needs all
	 * that full calls give, 5 of 100 requests more are on time for it, as
	 * {@code PoolLoadTests} shows.
	 */
	private static final long INPUTS_READ_MS = 100;

	// In the order of their begin.
	private final Map<Long, PoolCall> calls = new LinkedHashMap<>();

	private final Set<Long> overdue = new HashSet<>();

	private final Map<Long, PoolCall> unread = new LinkedHashMap<>();

	void add(PoolCall call, boolean begunAtOnce) {
		this.calls.put(call.number(), call);
		if (begunAtOnce && call.jobs().stream().anyMatch(PieceJob::inputsHoldRoom)) {
			this.unread.put(call.number(), call);
		}
	}

	PoolCall end(long number) {
		this.overdue.remove(number);
		this.unread.remove(number);
		return InvariantViolation.requirePresent(this.calls.remove(number), "an unknown call ended");
	}

	// Finds calls whose inputs need not be kept for their workers any more.
	List<PoolCall> takeRead(long nowMs) {
		List<PoolCall> read = new ArrayList<>();
		for (PoolCall call : this.unread.values()) {
			if (nowMs - call.startedMs() >= INPUTS_READ_MS) {
				read.add(call);
			}
		}
		read.forEach((call) -> this.unread.remove(call.number()));
		return read;
	}

	List<PoolCall> takeOverdue(long nowMs) {
		List<PoolCall> late = new ArrayList<>();
		for (PoolCall call : this.calls.values()) {
			double limitMs = call.expectedMs() * OVERDUE_FACTOR + OVERDUE_MARGIN_MS;
			if (nowMs - call.startedMs() > limitMs && this.overdue.add(call.number())) {
				late.add(call);
			}
		}
		return late;
	}

	int count() {
		return this.calls.size();
	}

}
