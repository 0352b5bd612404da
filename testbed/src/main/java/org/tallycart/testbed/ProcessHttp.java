package org.tallycart.testbed;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.tallycart.core.ini.Address;
import org.tallycart.http.HttpCall;
import org.tallycart.http.HttpConnection;
import org.tallycart.http.HttpFailure;
import org.tallycart.http.HttpReply;

/**
 * HTTP client for the status ports of a fleet's processes and the admin paths of the
 * stand-ins.
 * <p>
 * Thread-safe: stateless.
 *
 * @since 0.1
 */
public final class ProcessHttp {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final long TIMEOUT_MS = 5_000;

	private ProcessHttp() {
	}

	/**
	 * Send a GET request to a process and parse the reply as JSON.
	 * @param address address of the process
	 * @param path the path
	 * @return the JSON; an empty object if the call fails or the reply is not JSON
	 */
	public static JsonNode get(Address address, String path) {
		return HttpConnection.connect(address, TIMEOUT_MS).flatMap((connection) -> {
			try (connection) {
				return connection.call(HttpCall.get(path).build(), TIMEOUT_MS);
			}
		}).map(ProcessHttp::parseJson).getOrElse(JSON.createObjectNode());
	}

	private static JsonNode parseJson(HttpReply reply) {
		try {
			return JSON.readTree(reply.body());
		}
		catch (IOException ex) {
			return JSON.createObjectNode();
		}
	}

	/**
	 * Send a POST request to a process.
	 * @param address address of the process
	 * @param path the path
	 * @param body the body
	 * @throws IllegalStateException if the call fails or its status is not a success
	 */
	static void post(Address address, String path, String body) {
		HttpConnection.connect(address, TIMEOUT_MS).flatMap((connection) -> {
			try (connection) {
				return connection.call(HttpCall.post(path, body.getBytes(StandardCharsets.UTF_8)).build(), TIMEOUT_MS);
			}
		})
			.filterOrElse(HttpReply::isSuccess,
					(reply) -> new HttpFailure(HttpFailure.Kind.BROKEN, true, "unexpected status " + reply.status()))
			.getOrElseThrow((failure) -> new IllegalStateException(path + ": POST failed: " + failure.message()));
	}

}
