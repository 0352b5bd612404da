package org.tallycart.entry.stage;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.tallycart.core.declaration.Service;

/**
 * Protocol of retrieval services, {@code /v1/retrieve}.
 * <p>
 * Thread-safe: holds no state.
 *
 * @since 0.1
 */
final class RetrieveProtocol implements StageProtocol {

	private static final int CANDIDATES_PER_DOCUMENT = 4;

	@Override
	public String path(Service service) {
		return "/v1/retrieve";
	}

	@Override
	public JsonNode request(PipelineData data, Service service) {
		ObjectNode root = Json.MAPPER.createObjectNode()
			.put("query", data.input())
			.put("top_k", data.topDocuments() * CANDIDATES_PER_DOCUMENT);
		ArrayNode vector = root.putArray("vector");
		data.vector().forEach(vector::add);
		return root;
	}

	@Override
	public Either<String, PipelineData> parseReply(PipelineData data, JsonNode body) {
		if (!body.path("documents").isArray()) {
			return Either.left("no documents");
		}
		List<Document> documents = new ArrayList<>();
		body.path("documents")
			.forEach((node) -> documents.add(new Document(node.path("id").asText(), node.path("text").asText())));
		return Either.right(data.withDocuments(documents));
	}

}
