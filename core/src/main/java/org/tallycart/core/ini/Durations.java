package org.tallycart.core.ini;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parser for durations with a unit.
 * <p>
 * Thread-safe: holds no state.
 *
 * @since 0.1
 */
public final class Durations {

	private static final Pattern PATTERN = Pattern.compile("(\\d{1,9})(ms|s|m|h)");

	private static final long SECOND_MS = 1000;

	private static final long MINUTE_MS = 60 * SECOND_MS;

	private static final long HOUR_MS = 60 * MINUTE_MS;

	private Durations() {
	}

	/**
	 * Parse a duration.
	 * @param text the text, such as {@code 250ms}
	 * @return the duration in milliseconds, or empty if the text is not a duration
	 */
	public static Optional<Long> parseMs(String text) {
		Matcher matcher = PATTERN.matcher(text);
		if (!matcher.matches()) {
			return Optional.empty();
		}
		long unitMs = switch (matcher.group(2)) {
			case "ms" -> 1;
			case "s" -> SECOND_MS;
			case "m" -> MINUTE_MS;
			default -> HOUR_MS;
		};
		return Optional.of(Long.parseLong(matcher.group(1)) * unitMs);
	}

}
