package org.tallycart.core.serving;

import java.util.Optional;
import java.util.function.Function;

/**
 * What a reply says on one matter: a value, nothing, or something that cannot be read.
 * The last says neither that there is a value nor that there is none.
 *
 * @param kind what it says
 * @param value the value; empty unless one is named
 * @param <T> the type of the value
 * @since 0.1
 */
public record ParsedField<T>(State kind, Optional<T> value) {

	/**
	 * Return the statement of a reply that names a value.
	 * @param value the value
	 * @param <T> the type of the value
	 * @return the statement
	 */
	public static <T> ParsedField<T> of(T value) {
		return new ParsedField<>(State.VALUE, Optional.of(value));
	}

	/**
	 * Return the statement of a reply that says nothing.
	 * @param <T> the type of the value
	 * @return the statement
	 */
	public static <T> ParsedField<T> absent() {
		return new ParsedField<>(State.NOTHING, Optional.empty());
	}

	/**
	 * Return the statement of a reply whose word cannot be read.
	 * @param <T> the type of the value
	 * @return the statement
	 */
	public static <T> ParsedField<T> malformed() {
		return new ParsedField<>(State.UNREADABLE, Optional.empty());
	}

	/**
	 * Translate the value, if there is one.
	 * @param translation makes the new value
	 * @param <U> the type of the new value
	 * @return the statement of the new value
	 */
	public <U> ParsedField<U> map(Function<T, U> translation) {
		return new ParsedField<>(this.kind, this.value.map(translation));
	}

	/**
	 * Return whether the reply says something that cannot be read.
	 * @return true if so
	 */
	public boolean isMalformed() {
		return this.kind == State.UNREADABLE;
	}

	/** Kinds of statement. */
	public enum State {

		/** It names a value. */
		VALUE,
		/** It says nothing. */
		NOTHING,
		/** What it says cannot be read. */
		UNREADABLE

	}

}
