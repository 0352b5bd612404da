package org.tallycart.entry.stage;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;

/**
 * JSON mapping that returns parse errors as values.
 * <p>
 * Thread-safe.
 *
 * @since 0.1
 */
final class Json {

	static final ObjectMapper MAPPER = new ObjectMapper();

	private Json() {
	}

	static byte[] bytes(JsonNode node) {
		try {
			return MAPPER.writeValueAsBytes(node);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("cannot serialize a JSON tree", ex);
		}
	}

	static Either<String, JsonNode> read(String text) {
		try {
			JsonNode node = MAPPER.readTree(text);
			return node.isMissingNode() ? Either.left("empty") : Either.right(node);
		}
		catch (JsonProcessingException ex) {
			return Either.left("not JSON: " + ex.getOriginalMessage());
		}
	}

}
