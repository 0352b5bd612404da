package org.tallycart.integration.soak;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Broken promises, and notes of what was done meanwhile, in order.
 * <p>
 * Thread-safe.
 */
final class Violations {

	private final long beganNanos = System.nanoTime();

	private final List<String> notes = new CopyOnWriteArrayList<>();

	private final List<String> violations = new CopyOnWriteArrayList<>();

	void note(String text) {
		this.notes.add(stamped(text));
	}

	void add(String text) {
		this.violations.add(stamped(text));
	}

	private String stamped(String text) {
		return (System.nanoTime() - this.beganNanos) / 1_000_000 + " ms: " + text;
	}

	boolean isEmpty() {
		return this.violations.isEmpty();
	}

	@Override
	public String toString() {
		return String.join("\n", this.violations) + "\nwhat was done:\n" + String.join("\n", this.notes);
	}

}
