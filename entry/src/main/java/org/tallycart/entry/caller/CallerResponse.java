package org.tallycart.entry.caller;

import java.nio.charset.StandardCharsets;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.tallycart.core.outcome.RequestResult;
import org.tallycart.core.replication.Digest;

/**
 * The answer to a request.
 * <p>
 * Immutable and thread-safe.
 *
 * @param requestId the request
 * @param ending how it ended
 * @param output the text; empty unless the ending is COMPLETE
 * @param configVersion the version of the configuration it saw
 * @param firstTokenMs when the first token came; -1 if none did
 * @param totalMs how long it took
 * @param cost what its stages cost
 * @since 0.1
 */
public record CallerResponse(String requestId, RequestResult ending, String output, long configVersion,
		long firstTokenMs, long totalMs, Map<String, Double> cost) {

	private static final ObjectMapper JSON = new ObjectMapper();

	/**
	 * Write the answer as JSON.
	 * @param withOutput whether to hold the text too; the end record of a stream does not
	 * @return the bytes
	 */
	public byte[] toJson(boolean withOutput) {
		byte[] text = this.output.getBytes(StandardCharsets.UTF_8);
		ObjectNode node = JSON.createObjectNode()
			.put("request_id", this.requestId)
			.put("outcome", this.ending.outcome().name())
			.put("reason", this.ending.reason().name())
			.put("detail", this.ending.detail())
			.put("retry_after_ms", this.ending.retryAfterMs());
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
			throw new IllegalStateException("a tree of JSON can always be written", ex);
		}
	}

}
