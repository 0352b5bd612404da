package org.tallycart.integration.soak;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Violated guarantees, and a chronological log of the faults injected.
 * <p>
 * Thread-safe.
 */
final class Violations {

	private final long startNanos = System.nanoTime();

	private final List<String> notes = new CopyOnWriteArrayList<>();

	private final List<String> violations = new CopyOnWriteArrayList<>();

	void note(String text) {
		this.notes.add(withElapsedTime(text));
	}

	void add(String text) {
		this.violations.add(withElapsedTime(text));
	}

	private String withElapsedTime(String text) {
		return (System.nanoTime() - this.startNanos) / 1_000_000 + " ms: " + text;
	}

	boolean isEmpty() {
		return this.violations.isEmpty();
	}

	@Override
	public String toString() {
		return String.join("\n", this.violations) + "\nfaults and actions:\n" + String.join("\n", this.notes);
	}

}
