package org.tallycart.core.ini;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/**
 * Reads typed and range-checked values of a section. Problems are collected; an invalid
 * value yields the default, so that reading continues and all problems are reported
 * together.
 * <p>
 * Not thread-safe.
 *
 * @since 0.1
 */
public final class SectionReader {

	private static final String NO_HINT = "";

	private final IniSection section;

	private final List<Problem> problems;

	private final Set<String> readKeys = new HashSet<>();

	private SectionReader(IniSection section, List<Problem> problems) {
		this.section = section;
		this.problems = problems;
	}

	/**
	 * Create a reader.
	 * @param section the section
	 * @param problems the list to which problems are added
	 * @return the reader
	 */
	public static SectionReader of(IniSection section, List<Problem> problems) {
		return new SectionReader(section, problems);
	}

	/**
	 * Read a required text.
	 * @param key the key
	 * @return the text, or an empty string if the key is missing
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
	 * @param defaultValue the default
	 * @return the text
	 */
	public String text(String key, String defaultValue) {
		return value(key).orElse(defaultValue);
	}

	/**
	 * Read an enum value.
	 * @param <E> the enum type
	 * @param key the key
	 * @param type the enum type, whose constants are written in lower case with hyphens
	 * @param defaultValue the default
	 * @return the value
	 */
	public <E extends Enum<E>> E enumValue(String key, Class<E> type, E defaultValue) {
		Optional<String> value = value(key);
		if (value.isEmpty()) {
			return defaultValue;
		}
		String word = value.get();
		for (E constant : type.getEnumConstants()) {
			if (constant.name().toLowerCase(Locale.ROOT).replace('_', '-').equals(word)) {
				return constant;
			}
		}
		String names = String.join(", ",
				Arrays.stream(type.getEnumConstants())
					.map((constant) -> constant.name().toLowerCase(Locale.ROOT).replace('_', '-'))
					.toList());
		problem(key, "'" + word + "' is not a known word", "one of " + names);
		return defaultValue;
	}

	/**
	 * Read an integer within bounds.
	 * @param key the key
	 * @param defaultValue the default
	 * @param min the minimum value
	 * @param max the maximum value
	 * @return the number
	 */
	public long number(String key, long defaultValue, long min, long max) {
		Optional<String> value = value(key);
		if (value.isEmpty()) {
			return defaultValue;
		}
		try {
			return checkBounds(key, Long.parseLong(value.get()), defaultValue, min, max);
		}
		catch (NumberFormatException ex) {
			problem(key, "'" + value.get() + "' is not a whole number", "no unit and no fraction");
			return defaultValue;
		}
	}

	/**
	 * Read a decimal number within bounds.
	 * @param key the key
	 * @param defaultValue the default
	 * @param min the minimum value
	 * @param max the maximum value
	 * @return the number
	 */
	public double decimal(String key, double defaultValue, double min, double max) {
		Optional<String> value = value(key);
		if (value.isEmpty()) {
			return defaultValue;
		}
		try {
			double number = Double.parseDouble(value.get());
			if (number >= min && number <= max) {
				return number;
			}
			problem(key, value.get() + " is out of bounds", "from " + min + " to " + max);
		}
		catch (NumberFormatException ex) {
			problem(key, "'" + value.get() + "' is not a number", NO_HINT);
		}
		return defaultValue;
	}

	/**
	 * Read a duration with a unit.
	 * @param key the key
	 * @param defaultMs the default, in milliseconds
	 * @param minMs the minimum value, in milliseconds
	 * @param maxMs the maximum value, in milliseconds
	 * @return the duration, in milliseconds
	 */
	public long durationMs(String key, long defaultMs, long minMs, long maxMs) {
		Optional<String> value = value(key);
		if (value.isEmpty()) {
			return defaultMs;
		}
		Optional<Long> parsed = Durations.parseMs(value.get());
		if (parsed.isEmpty()) {
			problem(key, "'" + value.get() + "' is not a duration", "a whole number with ms, s, m or h, as in 250ms");
			return defaultMs;
		}
		return checkBounds(key, parsed.get(), defaultMs, minMs, maxMs);
	}

	/**
	 * Read a boolean.
	 * @param key the key
	 * @param defaultValue the default
	 * @return the value
	 */
	public boolean flag(String key, boolean defaultValue) {
		Optional<String> value = value(key);
		if (value.isEmpty()) {
			return defaultValue;
		}
		if (!value.get().equals("true") && !value.get().equals("false")) {
			problem(key, "'" + value.get() + "' is neither true nor false", NO_HINT);
			return defaultValue;
		}
		return value.get().equals("true");
	}

	/**
	 * Read a comma-separated list of texts.
	 * @param key the key
	 * @return the texts, without surrounding whitespace
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
	 * @param defaultValue the default, as {@code host:port}
	 * @return the address
	 */
	public Address address(String key, String defaultValue) {
		String value = value(key).orElse(defaultValue);
		return Address.parse(value).getOrElseGet((error) -> {
			problem(key, "'" + value + "' " + error, "host:port");
			return new Address("0.0.0.0", 0);
		});
	}

	/**
	 * Report a problem with a key.
	 * @param key the key
	 * @param message the description of the problem
	 * @param hint a hint for solving the problem; may be empty
	 */
	public void problem(String key, String message, String hint) {
		int line = this.section.lines().getOrDefault(key, this.section.line());
		this.problems.add(new Problem(this.section.file(), line, 1, key + ": " + message, hint));
	}

	/**
	 * Report every key of the section that has not been read.
	 */
	public void reportUnknownKeys() {
		for (String key : this.section.values().keySet()) {
			if (!this.readKeys.contains(key)) {
				problem(key, "is not a key of [" + this.section.kind() + "]",
						"known here: " + String.join(", ", new java.util.TreeSet<>(this.readKeys)));
			}
		}
	}

	private Optional<String> value(String key) {
		this.readKeys.add(key);
		return Optional.ofNullable(this.section.values().get(key)).map(String::strip);
	}

	private long checkBounds(String key, long number, long defaultValue, long min, long max) {
		if (number < min || number > max) {
			problem(key, number + " is out of bounds", "from " + min + " to " + max);
			return defaultValue;
		}
		return number;
	}

}
