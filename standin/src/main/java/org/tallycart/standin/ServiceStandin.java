package org.tallycart.standin;

import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;

/**
 * Stand-in for a plain service. Counts runs per idempotency key and per marker of the
 * request; the marker stays the same when a caller resubmits with a new key.
 * <p>
 * Thread-safe.
 *
 * @since 0.1
 */
final class ServiceStandin extends UpstreamStandin {

	private static final long HANG_MS = 60_000;

	private final Map<String, Integer> runsByKey = new ConcurrentHashMap<>();

	private final Map<String, Integer> runsByMarker = new ConcurrentHashMap<>();

	ServiceStandin(UpstreamDefinition definition) {
		super(definition);
	}

	@Override
	boolean serve(ClassicHttpRequest request, JsonNode body, ClassicHttpResponse response)
			throws IOException, InterruptedException {
		String key = JsonHttp.header(request, "Idempotency-Key");
		if (!key.isEmpty()) {
			this.runsByKey.merge(key, 1, Integer::sum);
		}
		String marker = marker(body.path("input").asText());
		this.runsByMarker.merge(marker, 1, Integer::sum);
		Thread.sleep(scaledMs(definition().baseMs()));
		if (faults().runsThenHangs()) {
			Thread.sleep(HANG_MS);
		}
		JsonHttp.respond(response, OK, JsonHttp.JSON.createObjectNode().put("output", "done " + marker));
		return false;
	}

	@Override
	JsonNode runs() {
		ObjectNode root = (ObjectNode) super.runs();
		ObjectNode keys = root.putObject("keys");
		new TreeMap<>(this.runsByKey).forEach(keys::put);
		ObjectNode markers = root.putObject("markers");
		new TreeMap<>(this.runsByMarker).forEach(markers::put);
		return root;
	}

}
