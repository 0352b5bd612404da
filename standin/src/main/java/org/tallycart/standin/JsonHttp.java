package org.tallycart.standin;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityUtils;

/**
 * Small helpers for JSON over HTTP.
 * <p>
 * Thread-safe: holds no state.
 *
 * @since 0.1
 */
final class JsonHttp {

	static final ObjectMapper JSON = new ObjectMapper();

	private static final int NOT_MODIFIED = 304;

	private JsonHttp() {
	}

	static byte[] body(ClassicHttpRequest request) throws IOException {
		return (request.getEntity() != null) ? EntityUtils.toByteArray(request.getEntity()) : new byte[0];
	}

	static JsonNode json(ClassicHttpRequest request) throws IOException {
		return JSON.readTree(body(request));
	}

	static String path(ClassicHttpRequest request) {
		return URI.create(request.getRequestUri()).getPath();
	}

	static Map<String, String> query(ClassicHttpRequest request) {
		Map<String, String> values = new HashMap<>();
		String query = URI.create(request.getRequestUri()).getQuery();
		for (String part : ((query != null) ? query : "").split("&")) {
			int equals = part.indexOf('=');
			if (equals > 0) {
				values.put(part.substring(0, equals), part.substring(equals + 1));
			}
		}
		return values;
	}

	static String field(ClassicHttpRequest request, String name) {
		Header header = request.getFirstHeader(name);
		return (header != null) ? header.getValue() : "";
	}

	static void answer(ClassicHttpResponse response, int code, JsonNode body) throws IOException {
		response.setCode(code);
		response.setEntity(new ByteArrayEntity(JSON.writeValueAsBytes(body), ContentType.APPLICATION_JSON));
	}

	static void answer(ClassicHttpResponse response, int code, String text) {
		response.setCode(code);
		if (code == NOT_MODIFIED) {
			// HTTP allows no body here.
			return;
		}
		response.setEntity(new ByteArrayEntity(text.getBytes(StandardCharsets.UTF_8), ContentType.TEXT_PLAIN));
	}

}
