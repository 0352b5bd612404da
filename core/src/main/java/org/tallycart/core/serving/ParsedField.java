package org.tallycart.core.serving;

import java.util.Optional;
import java.util.function.Function;

/**
 * The content of a header field of a reply: a value, absent, or malformed. A malformed
 * field is kept distinct because it implies neither a value nor its absence.
 *
 * @param state whether the field is present, absent or malformed
 * @param value the value; empty unless the field is present
 * @param <T> the type of the value
 * @since 0.1
 */
public record ParsedField<T>(State state, Optional<T> value) {

	/**
	 * Create a field that has a value.
	 * @param value the value
	 * @param <T> the type of the value
	 * @return the field
	 */
	public static <T> ParsedField<T> of(T value) {
		return new ParsedField<>(State.PRESENT, Optional.of(value));
	}

	/**
	 * Create a field that is absent.
	 * @param <T> the type of the value
	 * @return the field
	 */
	public static <T> ParsedField<T> absent() {
		return new ParsedField<>(State.ABSENT, Optional.empty());
	}

	/**
	 * Create a field whose content cannot be parsed.
	 * @param <T> the type of the value
	 * @return the field
	 */
	public static <T> ParsedField<T> malformed() {
		return new ParsedField<>(State.MALFORMED, Optional.empty());
	}

	/**
	 * Convert the value, if there is one.
	 * @param mapper converts the value
	 * @param <U> the type of the new value
	 * @return a field of the same state with the converted value
	 */
	public <U> ParsedField<U> map(Function<T, U> mapper) {
		return new ParsedField<>(this.state, this.value.map(mapper));
	}

	/**
	 * Return whether the content of the field cannot be parsed.
	 * @return true if the field is malformed
	 */
	public boolean isMalformed() {
		return this.state == State.MALFORMED;
	}

	/** State of a field. */
	public enum State {

		/** The field has a value. */
		PRESENT,
		/** The field is missing. */
		ABSENT,
		/** The content of the field cannot be parsed. */
		MALFORMED

	}

}
