package org.tallycart.standin;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.EntityTemplate;
import org.jspecify.annotations.Nullable;

/**
 * Stand-in for a model engine: streams tokens, slows down as its batch grows, keeps a
 * prefix cache, and stops when the caller disconnects.
 * <p>
 * Token i of the reply to {@code [#q17]} is {@code q17-i}. Text after the answer marker
 * counts as already generated, so an interrupted reply can be resumed on another engine.
 * Thread-safe.
 *
 * @since 0.1
 */
final class EngineStandin extends UpstreamStandin {

	private static final String ANSWER_MARKER = "\nAnswer:";

	private static final int PREFIX_CHARS = 32;

	private static final int MAX_CACHED_PREFIXES = 64;

	private static final double CACHED_PREFILL_FACTOR = 0.3;

	private static final double SLOWDOWN_PER_BATCHED_CALL = 0.05;

	private final Map<String, Boolean> cachedPrefixes = new LinkedHashMap<>(MAX_CACHED_PREFIXES, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
			return size() > MAX_CACHED_PREFIXES;
		}
	};

	private final AtomicLong tokens = new AtomicLong();

	private final AtomicLong cancelledStreams = new AtomicLong();

	EngineStandin(UpstreamDefinition definition) {
		super(definition);
	}

	@Override
	boolean serve(ClassicHttpRequest request, JsonNode body, ClassicHttpResponse response)
			throws IOException, InterruptedException {
		String prompt = body.path("prompt").asText();
		int maxTokens = body.path("max_tokens").asInt(16);
		Thread.sleep(scaledMs(definition().baseMs() * (lookUpPrefix(prompt) ? CACHED_PREFILL_FACTOR : 1)));
		int answerStart = prompt.indexOf(ANSWER_MARKER);
		String question = (answerStart >= 0) ? prompt.substring(0, answerStart) : prompt;
		String generated = (answerStart >= 0) ? prompt.substring(answerStart + ANSWER_MARKER.length()).strip() : "";
		int firstToken = generated.isEmpty() ? 0 : generated.split(" ").length;
		boolean truncate = faults().truncatesStream();
		response.setCode(OK);
		response.setEntity(new EntityTemplate(-1, ContentType.TEXT_EVENT_STREAM, null, (out) -> {
			try {
				stream(out, marker(question), firstToken, maxTokens, truncate);
			}
			finally {
				release();
			}
		}));
		return true;
	}

	private synchronized boolean lookUpPrefix(String prompt) {
		String prefix = prompt.substring(0, Math.min(prompt.length(), PREFIX_CHARS));
		return this.cachedPrefixes.put(prefix, Boolean.TRUE) != null;
	}

	private void stream(OutputStream out, String marker, int firstToken, int maxTokens, boolean truncate)
			throws IOException {
		try {
			int endToken = truncate ? firstToken + maxTokens / 2 : firstToken + maxTokens;
			for (int i = firstToken; i < endToken; i++) {
				double slowdown = 1 + SLOWDOWN_PER_BATCHED_CALL * Math.max(running() - 1, 0);
				Thread.sleep(scaledMs(definition().tokenMs() * slowdown));
				writeChunk(out, marker + "-" + i + " ", (i + 1 == firstToken + maxTokens) ? "length" : null);
				this.tokens.incrementAndGet();
			}
			if (truncate) {
				throw new IOException("injected fault: the stream is truncated");
			}
			out.write("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
			out.flush();
		}
		catch (IOException ex) {
			this.cancelledStreams.incrementAndGet();
			throw ex;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException("interrupted while streaming tokens", ex);
		}
	}

	private static void writeChunk(OutputStream out, String text, @Nullable String finish) throws IOException {
		ObjectNode root = JsonHttp.JSON.createObjectNode();
		root.putArray("choices").addObject().put("index", 0).put("text", text).put("finish_reason", finish);
		out.write(("data: " + JsonHttp.JSON.writeValueAsString(root) + "\n\n").getBytes(StandardCharsets.UTF_8));
		out.flush();
	}

	@Override
	JsonNode runs() {
		return ((ObjectNode) super.runs()).put("tokens", this.tokens.get())
			.put("cancelled", this.cancelledStreams.get());
	}

}
