package org.tallycart.core.pool;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.tallycart.core.outcome.InvariantViolation;

/**
 * Calls of a pool that are in progress, and the detection of calls that are overdue or
 * have read their inputs.
 * <p>
 * Invariant: a call ends once, and is returned at most once as overdue and at most once
 * as having read its inputs. Not thread-safe: guarded by {@link PoolDispatcher}.
 */
final class RunningCalls {

	/** A call is overdue after this multiple of its expected duration, plus a margin. */
	private static final double OVERDUE_FACTOR = 1.8;

	/** Margin for the network and for slow pieces, in milliseconds. */
	private static final double OVERDUE_MARGIN_MS = 120;

	/**
	 * Time after which a worker has read the inputs of a call that it started at once, in
	 * milliseconds. Inputs are released then, before the call ends, to free result memory
	 * for other pieces; see {@code PoolLoadTests}. The inputs of a full call cross the
	 * link of its worker in about 10 ms, and the rest allows for slow links; a call takes
	 * 200 ms or longer.
	 */
	private static final long INPUTS_READ_MS = 100;

	// In the order of their start.
	private final Map<Long, PoolCall> calls = new LinkedHashMap<>();

	private final Set<Long> overdue = new HashSet<>();

	private final Map<Long, PoolCall> inputsUnread = new LinkedHashMap<>();

	void add(PoolCall call, boolean startedAtOnce) {
		this.calls.put(call.number(), call);
		if (startedAtOnce && call.jobs().stream().anyMatch(PieceJob::hasLargeInputs)) {
			this.inputsUnread.put(call.number(), call);
		}
	}

	PoolCall end(long number) {
		this.overdue.remove(number);
		this.inputsUnread.remove(number);
		return InvariantViolation.requirePresent(this.calls.remove(number), "the call is not in progress");
	}

	// Returns the calls whose inputs have been read since the last invocation.
	List<PoolCall> takeInputsRead(long nowMs) {
		List<PoolCall> read = new ArrayList<>();
		for (PoolCall call : this.inputsUnread.values()) {
			if (nowMs - call.startedMs() >= INPUTS_READ_MS) {
				read.add(call);
			}
		}
		read.forEach((call) -> this.inputsUnread.remove(call.number()));
		return read;
	}

	List<PoolCall> takeOverdue(long nowMs) {
		List<PoolCall> found = new ArrayList<>();
		for (PoolCall call : this.calls.values()) {
			double limitMs = call.expectedMs() * OVERDUE_FACTOR + OVERDUE_MARGIN_MS;
			if (nowMs - call.startedMs() > limitMs && this.overdue.add(call.number())) {
				found.add(call);
			}
		}
		return found;
	}

	int count() {
		return this.calls.size();
	}

}
