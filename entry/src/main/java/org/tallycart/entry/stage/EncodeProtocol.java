package org.tallycart.entry.stage;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.tallycart.core.declaration.Service;

/**
 * Protocol of embedding services, {@code /v1/embeddings}.
 * <p>
 * Thread-safe: holds no state.
 *
 * @since 0.1
 */
final class EncodeProtocol implements StageProtocol {

	@Override
	public String path(Service service) {
		return "/v1/embeddings";
	}

	@Override
	public JsonNode request(PipelineData data, Service service) {
		ObjectNode root = Json.MAPPER.createObjectNode().put("model", service.model());
		root.putArray("input").add(data.input());
		return root;
	}

	@Override
	public Either<String, PipelineData> parseReply(PipelineData data, JsonNode body) {
		List<Double> vector = new ArrayList<>();
		body.path("data").path(0).path("embedding").forEach((number) -> vector.add(number.asDouble()));
		return vector.isEmpty() ? Either.left("no embedding") : Either.right(data.withVector(vector));
	}

}
