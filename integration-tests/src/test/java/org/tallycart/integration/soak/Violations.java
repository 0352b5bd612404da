package org.tallycart.integration.soak;

import java.io.PrintWriter;
import java.io.StringWriter;
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

	// An exception that ends a test or one of its callers, with its stack trace.
	void addException(String what, Throwable exception) {
		StringWriter trace = new StringWriter();
		exception.printStackTrace(new PrintWriter(trace, true));
		add(what + " ended by an exception: " + trace);
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
