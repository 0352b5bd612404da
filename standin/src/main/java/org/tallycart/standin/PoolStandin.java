package org.tallycart.standin;

import java.io.IOException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;

/**
 * Stand-in for an encoder, a retriever or a reranker.
 * <p>
 * Thread-safe.
 *
 * @since 0.1
 */
final class PoolStandin extends UpstreamStandin {

	private static final int DIMENSIONS = 8;

	private static final int BYTE_VALUES = 256;

	PoolStandin(UpstreamDefinition definition) {
		super(definition);
	}

	@Override
	boolean serve(ClassicHttpRequest request, JsonNode body, ClassicHttpResponse response)
			throws IOException, InterruptedException {
		Thread.sleep(scaledMs(definition().baseMs()));
		JsonHttp.respond(response, OK, switch (definition().kind()) {
			case "encode" -> encode(body);
			case "retrieve" -> retrieve(body);
			default -> rerank(body);
		});
		return false;
	}

	private static ObjectNode encode(JsonNode body) {
		String text = body.path("input").path(0).asText();
		ObjectNode root = JsonHttp.JSON.createObjectNode();
		ArrayNode vector = root.putArray("data").addObject().put("index", 0).putArray("embedding");
		for (int i = 0; i < DIMENSIONS; i++) {
			vector.add(Math.floorMod((text + i).hashCode(), BYTE_VALUES) / (double) BYTE_VALUES);
		}
		return root;
	}

	private static ObjectNode retrieve(JsonNode body) {
		String marker = marker(body.path("query").asText());
		ObjectNode root = JsonHttp.JSON.createObjectNode();
		ArrayNode documents = root.putArray("documents");
		for (int i = 0; i < body.path("top_k").asInt(1); i++) {
			documents.addObject().put("id", "doc-" + i).put("text", "document " + i + " on [#" + marker + "]");
		}
		return root;
	}

	private static ObjectNode rerank(JsonNode body) {
		ObjectNode root = JsonHttp.JSON.createObjectNode();
		ArrayNode results = root.putArray("results");
		int count = body.path("documents").size();
		for (int i = 0; i < Math.min(count, body.path("top_n").asInt(count)); i++) {
			results.addObject().put("index", count - 1 - i).put("relevance_score", 1.0 / (i + 1));
		}
		return root;
	}

}
