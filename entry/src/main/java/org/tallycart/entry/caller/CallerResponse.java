package org.tallycart.entry.caller;

import java.nio.charset.StandardCharsets;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.tallycart.core.outcome.RequestResult;
import org.tallycart.core.replication.Digest;

/**
 * Response to a request.
 * <p>
 * Immutable and thread-safe.
 *
 * @param requestId id of the request
 * @param result the result
 * @param output the text; empty unless the outcome is COMPLETE
 * @param configVersion version of the configuration that the request used
 * @param firstTokenMs time from arrival to the first token, in milliseconds; -1 if there
 * was none
 * @param totalMs total time, in milliseconds
 * @param cost cost by {@code service.use}
 * @since 0.1
 */
public record CallerResponse(String requestId, RequestResult result, String output, long configVersion,
		long firstTokenMs, long totalMs, Map<String, Double> cost) {

	private static final ObjectMapper JSON = new ObjectMapper();

	/**
	 * Serialize the response as JSON.
	 * @param withOutput whether to include the text; false for the end record of a stream
	 * @return the JSON as UTF-8 bytes
	 */
	public byte[] toJson(boolean withOutput) {
		byte[] text = this.output.getBytes(StandardCharsets.UTF_8);
		ObjectNode node = JSON.createObjectNode()
			.put("request_id", this.requestId)
			.put("outcome", this.result.outcome().name())
			.put("reason", this.result.reason().name())
			.put("detail", this.result.detail())
			.put("retry_after_ms", this.result.retryAfterMs());
		if (withOutput) {
			node.put("output", this.output);
		}
		node.put("length", text.length)
			.put("sha256", Digest.of(text))
			.put("config_version", this.configVersion)
			.put("first_token_ms", this.firstTokenMs)
			.put("total_ms", this.totalMs);
		ObjectNode costs = node.putObject("cost");
		this.cost.forEach(costs::put);
		try {
			return JSON.writeValueAsBytes(node);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("cannot serialize a JSON tree", ex);
		}
	}

}
