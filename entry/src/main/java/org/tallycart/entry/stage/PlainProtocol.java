package org.tallycart.entry.stage;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.tallycart.core.declaration.Service;

/**
 * Protocol of a plain service: JSON request, JSON reply with an {@code output} field.
 * <p>
 * Thread-safe: holds no state.
 *
 * @since 0.1
 */
final class PlainProtocol implements StageProtocol {

	@Override
	public String path(Service service) {
		return service.path();
	}

	@Override
	public JsonNode request(PipelineData data, Service service) {
		return Json.MAPPER.createObjectNode().put("input", data.input());
	}

	@Override
	public Either<String, PipelineData> parseReply(PipelineData data, JsonNode body) {
		JsonNode output = body.path("output");
		return output.isTextual() ? Either.right(data.withOutput(output.asText())) : Either.left("no output");
	}

}
