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
 * Static helpers to read HTTP requests and to write text and JSON replies.
 * <p>
 * Thread-safe: stateless.
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

	static JsonNode readJson(ClassicHttpRequest request) throws IOException {
		return JSON.readTree(body(request));
	}

	static String path(ClassicHttpRequest request) {
		return URI.create(request.getRequestUri()).getPath();
	}

	static Map<String, String> query(ClassicHttpRequest request) {
		Map<String, String> values = new HashMap<>();
		String query = URI.create(request.getRequestUri()).getQuery();
		for (String part : ((query != null) ? query : "").split("&")) {
			int separator = part.indexOf('=');
			if (separator > 0) {
				values.put(part.substring(0, separator), part.substring(separator + 1));
			}
		}
		return values;
	}

	static String header(ClassicHttpRequest request, String name) {
		Header header = request.getFirstHeader(name);
		return (header != null) ? header.getValue() : "";
	}

	static void respond(ClassicHttpResponse response, int status, JsonNode body) throws IOException {
		response.setCode(status);
		response.setEntity(new ByteArrayEntity(JSON.writeValueAsBytes(body), ContentType.APPLICATION_JSON));
	}

	static void respond(ClassicHttpResponse response, int status, String text) {
		response.setCode(status);
		if (status == NOT_MODIFIED) {
			// A 304 response must not have a body.
			return;
		}
		response.setEntity(new ByteArrayEntity(text.getBytes(StandardCharsets.UTF_8), ContentType.TEXT_PLAIN));
	}

}
