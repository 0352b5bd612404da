package org.tallycart.core.policy;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The facts of a request on arrival and the priority assigned by the policy. Entries
 * record one per request, so that a candidate policy can be tested on recorded requests.
 * <p>
 * Immutable and thread-safe.
 *
 * @param facts the facts of the request
 * @param priority the assigned priority
 * @since 0.1
 */
public record RecordedDecision(RequestFacts facts, long priority) {

	private static final String SEPARATOR = " ";

	/**
	 * Create a record.
	 * @param facts the facts of the request
	 * @param priority the assigned priority
	 * @return the record
	 */
	public static RecordedDecision of(RequestFacts facts, long priority) {
		return new RecordedDecision(facts, priority);
	}

	/**
	 * Encode the record as a sequence of {@code name=value} pairs.
	 * @return the text
	 */
	public String encode() {
		return "workspace=" + this.facts.workspace() + " pipeline=" + this.facts.pipeline() + " label="
				+ this.facts.label().replace(SEPARATOR, "_") + " repeatable=" + this.facts.repeatable()
				+ " remaining_ms=" + this.facts.remainingMs() + " max_tokens=" + this.facts.maxTokens() + " priority="
				+ this.priority;
	}

	/**
	 * Decode a record.
	 * @param text the text
	 * @return the record, or empty if the text is not a record
	 */
	public static Optional<RecordedDecision> decode(String text) {
		Map<String, String> values = new HashMap<>();
		for (String pair : text.split(SEPARATOR)) {
			int equals = pair.indexOf('=');
			if (equals > 0) {
				values.put(pair.substring(0, equals), pair.substring(equals + 1));
			}
		}
		try {
			RequestFacts facts = new RequestFacts(values.getOrDefault("workspace", ""),
					values.getOrDefault("pipeline", ""), values.getOrDefault("label", ""),
					Boolean.parseBoolean(values.get("repeatable")),
					Long.parseLong(values.getOrDefault("remaining_ms", "")),
					Long.parseLong(values.getOrDefault("max_tokens", "")));
			return Optional.of(new RecordedDecision(facts, Long.parseLong(values.getOrDefault("priority", ""))));
		}
		catch (NumberFormatException ex) {
			return Optional.empty();
		}
	}

}
