package org.tallycart.entry.stage;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.tallycart.core.declaration.Service;

/**
 * Protocol of reranking services, {@code /v1/rerank}.
 * <p>
 * Thread-safe: holds no state.
 *
 * @since 0.1
 */
final class RerankProtocol implements StageProtocol {

	@Override
	public String path(Service service) {
		return "/v1/rerank";
	}

	@Override
	public JsonNode request(PipelineData data, Service service) {
		ObjectNode root = Json.MAPPER.createObjectNode()
			.put("model", service.model())
			.put("query", data.input())
			.put("top_n", data.topDocuments());
		ArrayNode documents = root.putArray("documents");
		data.documents().forEach((document) -> documents.add(document.text()));
		return root;
	}

	@Override
	public Either<String, PipelineData> parseReply(PipelineData data, JsonNode body) {
		List<Document> ranked = new ArrayList<>();
		for (JsonNode result : body.path("results")) {
			int index = result.path("index").asInt(-1);
			if (index < 0 || index >= data.documents().size()) {
				return Either.left("a result names document " + index + " of " + data.documents().size());
			}
			ranked.add(data.documents().get(index));
		}
		boolean complete = body.path("results").isArray()
				&& ranked.size() == Math.min(data.topDocuments(), data.documents().size());
		return complete ? Either.right(data.withDocuments(ranked)) : Either.left("results are missing");
	}

}
