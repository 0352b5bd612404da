package org.tallycart.core.ini;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Durations written with a unit.
 * <p>
 * Thread-safe: holds no state.
 *
 * @since 0.1
 */
public final class Durations {

	private static final Pattern FORM = Pattern.compile("(\\d{1,9})(ms|s|m|h)");

	private static final long SECOND = 1000;

	private static final long MINUTE = 60 * SECOND;

	private static final long HOUR = 60 * MINUTE;

	private Durations() {
	}

	/**
	 * Parse a duration.
	 * @param text the text, such as {@code 250ms}
	 * @return milliseconds, or empty if the text is not a duration
	 */
	public static Optional<Long> parseMs(String text) {
		Matcher matcher = FORM.matcher(text);
		if (!matcher.matches()) {
			return Optional.empty();
		}
		long unit = switch (matcher.group(2)) {
			case "ms" -> 1;
			case "s" -> SECOND;
			case "m" -> MINUTE;
			default -> HOUR;
		};
		return Optional.of(Long.parseLong(matcher.group(1)) * unit);
	}

}
