package org.tallycart.core.ini;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/**
 * Typed, bounded reading of one section. Every problem is collected; a bad value yields
 * the default, so that reading goes on and all problems are told in one go.
 * <p>
 * Not thread-safe.
 *
 * @since 0.1
 */
public final class SectionReader {

	private static final String NO_HINT = "";

	private final IniSection section;

	private final List<Problem> problems;

	private final Set<String> known = new HashSet<>();

	private SectionReader(IniSection section, List<Problem> problems) {
		this.section = section;
		this.problems = problems;
	}

	/**
	 * Create a reader.
	 * @param section the section
	 * @param problems where problems are added
	 * @return the reader
	 */
	public static SectionReader of(IniSection section, List<Problem> problems) {
		return new SectionReader(section, problems);
	}

	/**
	 * Read a text that must be there.
	 * @param key the key
	 * @return the text, or an empty text after a problem
	 */
	public String text(String key) {
		Optional<String> value = value(key);
		if (value.isEmpty()) {
			this.problems.add(new Problem(this.section.file(), this.section.line(), 1,
					"[" + this.section.name() + "] lacks the key '" + key + "'", NO_HINT));
		}
		return value.orElse("");
	}

	/**
	 * Read a text.
	 * @param key the key
	 * @param fallback the default
	 * @return the text
	 */
	public String text(String key, String fallback) {
		return value(key).orElse(fallback);
	}

	/**
	 * Read one of several words.
	 * @param <E> the type
	 * @param key the key
	 * @param type the type whose names, in lower case, are the words
	 * @param fallback the default, or null if the key must be there
	 * @return the value
	 */
	public <E extends Enum<E>> E enumValue(String key, Class<E> type, E fallback) {
		Optional<String> value = value(key);
		if (value.isEmpty()) {
			return fallback;
		}
		String wanted = value.get();
		for (E constant : type.getEnumConstants()) {
			if (constant.name().toLowerCase(Locale.ROOT).replace('_', '-').equals(wanted)) {
				return constant;
			}
		}
		String names = String.join(", ",
				Arrays.stream(type.getEnumConstants())
					.map((constant) -> constant.name().toLowerCase(Locale.ROOT).replace('_', '-'))
					.toList());
		problem(key, "'" + wanted + "' is not a known word", "one of " + names);
		return fallback;
	}

	/**
	 * Read a whole number within bounds.
	 * @param key the key
	 * @param fallback the default
	 * @param low the least value
	 * @param high the greatest value
	 * @return the number
	 */
	public long number(String key, long fallback, long low, long high) {
		Optional<String> value = value(key);
		if (value.isEmpty()) {
			return fallback;
		}
		try {
			return bounded(key, Long.parseLong(value.get()), fallback, low, high);
		}
		catch (NumberFormatException ex) {
			problem(key, "'" + value.get() + "' is not a whole number", "no unit and no fraction");
			return fallback;
		}
	}

	/**
	 * Read a decimal number within bounds.
	 * @param key the key
	 * @param fallback the default
	 * @param low the least value
	 * @param high the greatest value
	 * @return the number
	 */
	public double decimal(String key, double fallback, double low, double high) {
		Optional<String> value = value(key);
		if (value.isEmpty()) {
			return fallback;
		}
		try {
			double number = Double.parseDouble(value.get());
			if (number >= low && number <= high) {
				return number;
			}
			problem(key, value.get() + " is out of bounds", "from " + low + " to " + high);
		}
		catch (NumberFormatException ex) {
			problem(key, "'" + value.get() + "' is not a number", NO_HINT);
		}
		return fallback;
	}

	/**
	 * Read a duration with its unit.
	 * @param key the key
	 * @param fallbackMs the default, in milliseconds
	 * @param lowMs the least value, in milliseconds
	 * @param highMs the greatest value, in milliseconds
	 * @return milliseconds
	 */
	public long durationMs(String key, long fallbackMs, long lowMs, long highMs) {
		Optional<String> value = value(key);
		if (value.isEmpty()) {
			return fallbackMs;
		}
		Optional<Long> parsed = Durations.parseMs(value.get());
		if (parsed.isEmpty()) {
			problem(key, "'" + value.get() + "' is not a duration", "a whole number with ms, s, m or h, as in 250ms");
			return fallbackMs;
		}
		return bounded(key, parsed.get(), fallbackMs, lowMs, highMs);
	}

	/**
	 * Read true or false.
	 * @param key the key
	 * @param fallback the default
	 * @return the value
	 */
	public boolean flag(String key, boolean fallback) {
		Optional<String> value = value(key);
		if (value.isEmpty()) {
			return fallback;
		}
		if (!value.get().equals("true") && !value.get().equals("false")) {
			problem(key, "'" + value.get() + "' is neither true nor false", NO_HINT);
			return fallback;
		}
		return value.get().equals("true");
	}

	/**
	 * Read a list of texts parted by commas.
	 * @param key the key
	 * @return the texts, without blanks around them
	 */
	public List<String> list(String key) {
		List<String> items = new ArrayList<>();
		for (String item : value(key).orElse("").split(",")) {
			if (!item.isBlank()) {
				items.add(item.strip());
			}
		}
		return items;
	}

	/**
	 * Read an address.
	 * @param key the key
	 * @param fallback the default, as {@code host:port}
	 * @return the address
	 */
	public Address address(String key, String fallback) {
		String value = value(key).orElse(fallback);
		return Address.parse(value).getOrElseGet((error) -> {
			problem(key, "'" + value + "' " + error, "host:port");
			return new Address("0.0.0.0", 0);
		});
	}

	/**
	 * Report a problem at a key.
	 * @param key the key
	 * @param message what is wrong
	 * @param hint what to do
	 */
	public void problem(String key, String message, String hint) {
		int line = this.section.lines().getOrDefault(key, this.section.line());
		this.problems.add(new Problem(this.section.file(), line, 1, key + ": " + message, hint));
	}

	/**
	 * Report every key of the section that nothing has read.
	 */
	public void reportUnknownKeys() {
		for (String key : this.section.values().keySet()) {
			if (!this.known.contains(key)) {
				problem(key, "is not a key of [" + this.section.kind() + "]",
						"known here: " + String.join(", ", new java.util.TreeSet<>(this.known)));
			}
		}
	}

	private Optional<String> value(String key) {
		this.known.add(key);
		return Optional.ofNullable(this.section.values().get(key)).map(String::strip);
	}

	private long bounded(String key, long number, long fallback, long low, long high) {
		if (number < low || number > high) {
			problem(key, number + " is out of bounds", "from " + low + " to " + high);
			return fallback;
		}
		return number;
	}

}
