package org.tallycart.core.policy;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * What a policy knew of a request when it arrived, and the priority it gave. Entries
 * record one for each request, so that a candidate policy can be tried on real ones.
 * <p>
 * Immutable and thread-safe.
 *
 * @param facts the facts
 * @param priority the priority given
 * @since 0.1
 */
public record RecordedDecision(RequestFacts facts, long priority) {

	private static final String SEPARATOR = " ";

	/**
	 * Create a record.
	 * @param facts the facts
	 * @param priority the priority given
	 * @return the record
	 */
	public static RecordedDecision of(RequestFacts facts, long priority) {
		return new RecordedDecision(facts, priority);
	}

	/**
	 * Write the record as words {@code name=value}.
	 * @return the text
	 */
	public String encode() {
		return "workspace=" + this.facts.workspace() + " pipeline=" + this.facts.pipeline() + " label="
				+ this.facts.label().replace(SEPARATOR, "_") + " repeatable=" + this.facts.repeatable()
				+ " remaining_ms=" + this.facts.remainingMs() + " max_tokens=" + this.facts.maxTokens() + " priority="
				+ this.priority;
	}

	/**
	 * Read a record.
	 * @param text the text
	 * @return the record, or empty if the text is none
	 */
	public static Optional<RecordedDecision> decode(String text) {
		Map<String, String> words = new HashMap<>();
		for (String word : text.split(SEPARATOR)) {
			int equals = word.indexOf('=');
			if (equals > 0) {
				words.put(word.substring(0, equals), word.substring(equals + 1));
			}
		}
		try {
			RequestFacts facts = new RequestFacts(words.getOrDefault("workspace", ""),
					words.getOrDefault("pipeline", ""), words.getOrDefault("label", ""),
					Boolean.parseBoolean(words.get("repeatable")),
					Long.parseLong(words.getOrDefault("remaining_ms", "")),
					Long.parseLong(words.getOrDefault("max_tokens", "")));
			return Optional.of(new RecordedDecision(facts, Long.parseLong(words.getOrDefault("priority", ""))));
		}
		catch (NumberFormatException ex) {
			return Optional.empty();
		}
	}

}
