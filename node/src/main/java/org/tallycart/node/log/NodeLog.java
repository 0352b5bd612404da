package org.tallycart.node.log;

import java.util.function.LongSupplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.tallycart.runtime.event.EventCode;
import org.tallycart.runtime.event.LogText;

/**
 * Writes one line of {@code name=value} pairs for each decision and each change of state
 * of the process.
 * <p>
 * Invariant: the number of lines written in a second is limited; the number of suppressed
 * lines is logged. Not thread-safe: confined to the event loop.
 *
 * @since 0.1
 */
public final class NodeLog {

	static final String LOGGER_NAME = "tallycart.node";

	private static final Logger LOGGER = LoggerFactory.getLogger(LOGGER_NAME);

	/**
	 * Maximum number of lines in a second. Allows for ten lines a request at three times
	 * the usual load.
	 */
	private static final int MAX_LINES_PER_SECOND = 400;

	private static final long SECOND_MS = 1_000;

	private final LongSupplier nowMs;

	private long secondStartMs;

	private int lines;

	private int suppressed;

	/**
	 * Create a log.
	 * @param nowMs the monotonic clock, in milliseconds
	 */
	public NodeLog(LongSupplier nowMs) {
		this.nowMs = nowMs;
		this.secondStartMs = nowMs.getAsLong();
	}

	/**
	 * Write a line that belongs to no request.
	 * @param code the event
	 * @param pairs names and values, alternating
	 */
	public void event(EventCode code, Object... pairs) {
		request(code, "", pairs);
	}

	/**
	 * Write a line that belongs to a request.
	 * @param code the event
	 * @param requestId the id of the request; empty if there is none
	 * @param pairs names and values, alternating
	 */
	public void request(EventCode code, String requestId, Object... pairs) {
		if (!LOGGER.isEnabledForLevel(code.level()) || !tryAcquire()) {
			return;
		}
		StringBuilder line = new StringBuilder(160);
		line.append("event=").append(code.code()).append(" name=").append(code);
		if (!requestId.isEmpty()) {
			line.append(" request=").append(quoted(requestId));
		}
		for (int i = 0; i + 1 < pairs.length; i += 2) {
			line.append(' ').append(pairs[i]).append('=').append(quoted(String.valueOf(pairs[i + 1])));
		}
		LOGGER.atLevel(code.level()).log(line.toString());
	}

	private boolean tryAcquire() {
		long now = this.nowMs.getAsLong();
		if (now - this.secondStartMs >= SECOND_MS) {
			int suppressedBefore = this.suppressed;
			this.secondStartMs = now;
			this.lines = 0;
			this.suppressed = 0;
			if (suppressedBefore > 0) {
				event(EventCode.LINES_LEFT_OUT, "count", suppressedBefore);
			}
		}
		if (this.lines >= MAX_LINES_PER_SECOND) {
			this.suppressed++;
			return false;
		}
		this.lines++;
		return true;
	}

	// A value that looks like several pairs, or holds escapes, is quoted.
	private static String quoted(String value) {
		String text = LogText.escape(value);
		boolean plain = text.equals(value) && !value.isEmpty() && value.indexOf(' ') < 0 && value.indexOf('"') < 0;
		return plain ? value : '"' + text.replace("\"", "'") + '"';
	}

}
