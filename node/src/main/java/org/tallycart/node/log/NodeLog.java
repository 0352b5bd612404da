package org.tallycart.node.log;

import java.util.function.LongSupplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.tallycart.runtime.event.EventCode;

/**
 * Writes one line for each decision and each change of what the process believes, as
 * {@code name=value} pairs.
 * <p>
 * Invariant: no more than a fixed number of lines is written in a second; what is left
 * out is counted in a line of its own. Not thread-safe: belongs to the event loop.
 *
 * @since 0.1
 */
public final class NodeLog {

	static final String LOGGER_NAME = "tallycart.node";

	private static final Logger LOGGER = LoggerFactory.getLogger(LOGGER_NAME);

	/** Lines in a second, at most: ten lines a request at three times the usual load. */
	private static final int MAX_LINES = 400;

	private static final long SECOND_MS = 1_000;

	private final LongSupplier nowMs;

	private long secondBeganMs;

	private int lines;

	private int leftOut;

	/**
	 * Create a log.
	 * @param nowMs the steady clock
	 */
	public NodeLog(LongSupplier nowMs) {
		this.nowMs = nowMs;
		this.secondBeganMs = nowMs.getAsLong();
	}

	/**
	 * Write a line that belongs to no request.
	 * @param code what kind
	 * @param pairs names and values in turn
	 */
	public void event(EventCode code, Object... pairs) {
		request(code, "", pairs);
	}

	/**
	 * Write a line.
	 * @param code what kind
	 * @param requestId the request
	 * @param pairs names and values in turn
	 */
	public void request(EventCode code, String requestId, Object... pairs) {
		if (!LOGGER.isEnabledForLevel(code.level()) || !admit()) {
			return;
		}
		StringBuilder line = new StringBuilder(160);
		line.append("event=").append(code.code()).append(" name=").append(code);
		if (!requestId.isEmpty()) {
			line.append(" request=").append(requestId);
		}
		for (int i = 0; i + 1 < pairs.length; i += 2) {
			line.append(' ').append(pairs[i]).append('=').append(quoted(String.valueOf(pairs[i + 1])));
		}
		LOGGER.atLevel(code.level()).log(line.toString());
	}

	private boolean admit() {
		long now = this.nowMs.getAsLong();
		if (now - this.secondBeganMs >= SECOND_MS) {
			int missing = this.leftOut;
			this.secondBeganMs = now;
			this.lines = 0;
			this.leftOut = 0;
			if (missing > 0) {
				event(EventCode.LINES_LEFT_OUT, "count", missing);
			}
		}
		if (this.lines >= MAX_LINES) {
			this.leftOut++;
			return false;
		}
		this.lines++;
		return true;
	}

	private static String quoted(String value) {
		boolean plain = !value.isEmpty() && value.indexOf(' ') < 0 && value.indexOf('"') < 0 && value.indexOf('\n') < 0;
		return plain ? value : '"' + value.replace("\"", "'").replace("\n", " ") + '"';
	}

}
