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
 * Token i of the answer to {@code [#q17]} is {@code q17-i}; text after the answer mark
 * counts as generated already, so a broken answer can be resumed elsewhere. Thread-safe.
 *
 * @since 0.1
 */
final class EngineStandin extends UpstreamStandin {

	private static final String ANSWER_MARK = "\nAnswer:";

	private static final int PREFIX_LENGTH = 32;

	private static final int CACHED_PREFIXES = 64;

	private static final double CACHED_SHARE = 0.3;

	private static final double BATCH_SLOWDOWN = 0.05;

	private final Map<String, Boolean> prefixes = new LinkedHashMap<>(CACHED_PREFIXES, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
			return size() > CACHED_PREFIXES;
		}
	};

	private final AtomicLong tokens = new AtomicLong();

	private final AtomicLong cancelled = new AtomicLong();

	EngineStandin(UpstreamDefinition shape) {
		super(shape);
	}

	@Override
	boolean serve(ClassicHttpRequest request, JsonNode body, ClassicHttpResponse response)
			throws IOException, InterruptedException {
		String prompt = body.path("prompt").asText();
		int limit = body.path("max_tokens").asInt(16);
		Thread.sleep(scaled(shape().baseMs() * (cached(prompt) ? CACHED_SHARE : 1)));
		int mark = prompt.indexOf(ANSWER_MARK);
		String before = (mark >= 0) ? prompt.substring(0, mark) : prompt;
		String generated = (mark >= 0) ? prompt.substring(mark + ANSWER_MARK.length()).strip() : "";
		int from = generated.isEmpty() ? 0 : generated.split(" ").length;
		boolean truncate = faults().truncates();
		response.setCode(OK);
		response.setEntity(new EntityTemplate(-1, ContentType.TEXT_EVENT_STREAM, null, (out) -> {
			try {
				stream(out, marker(before), from, limit, truncate);
			}
			finally {
				release();
			}
		}));
		return true;
	}

	private synchronized boolean cached(String prompt) {
		String prefix = prompt.substring(0, Math.min(prompt.length(), PREFIX_LENGTH));
		return this.prefixes.put(prefix, Boolean.TRUE) != null;
	}

	private void stream(OutputStream out, String marker, int from, int limit, boolean truncate) throws IOException {
		try {
			int until = truncate ? from + limit / 2 : from + limit;
			for (int i = from; i < until; i++) {
				double batch = 1 + BATCH_SLOWDOWN * Math.max(running() - 1, 0);
				Thread.sleep(scaled(shape().tokenMs() * batch));
				chunk(out, marker + "-" + i + " ", (i + 1 == from + limit) ? "length" : null);
				this.tokens.incrementAndGet();
			}
			if (truncate) {
				throw new IOException("a fault was set: the stream breaks");
			}
			out.write("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
			out.flush();
		}
		catch (IOException ex) {
			this.cancelled.incrementAndGet();
			throw ex;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException("stopped", ex);
		}
	}

	private static void chunk(OutputStream out, String text, @Nullable String finish) throws IOException {
		ObjectNode root = JsonHttp.JSON.createObjectNode();
		root.putArray("choices").addObject().put("index", 0).put("text", text).put("finish_reason", finish);
		out.write(("data: " + JsonHttp.JSON.writeValueAsString(root) + "\n\n").getBytes(StandardCharsets.UTF_8));
		out.flush();
	}

	@Override
	JsonNode runs() {
		return ((ObjectNode) super.runs()).put("tokens", this.tokens.get()).put("cancelled", this.cancelled.get());
	}

}
