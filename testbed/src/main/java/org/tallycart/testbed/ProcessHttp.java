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
 * Talks to the processes of a fleet: their status ports, and the controls of stand-ins.
 * <p>
 * Thread-safe: holds no state.
 *
 * @since 0.1
 */
public final class ProcessHttp {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final long TIMEOUT_MS = 5_000;

	private ProcessHttp() {
	}

	/**
	 * Read JSON from a process.
	 * @param address where
	 * @param path the path
	 * @return the JSON; an empty object if the process does not answer
	 */
	public static JsonNode get(Address address, String path) {
		return HttpConnection.connect(address, TIMEOUT_MS).flatMap((connection) -> {
			try (connection) {
				return connection.call(HttpCall.get(path).build(), TIMEOUT_MS);
			}
		}).map(ProcessHttp::json).getOrElse(JSON.createObjectNode());
	}

	private static JsonNode json(HttpReply reply) {
		try {
			return JSON.readTree(reply.body());
		}
		catch (IOException ex) {
			return JSON.createObjectNode();
		}
	}

	/**
	 * Post a body to a process.
	 * @param address where
	 * @param path the path
	 * @param body the body
	 */
	static void post(Address address, String path, String body) {
		HttpConnection.connect(address, TIMEOUT_MS).flatMap((connection) -> {
			try (connection) {
				return connection.call(HttpCall.post(path, body.getBytes(StandardCharsets.UTF_8)).build(), TIMEOUT_MS);
			}
		})
			.filterOrElse(HttpReply::isSuccess,
					(reply) -> new HttpFailure(HttpFailure.Kind.BROKEN, true, "status " + reply.status()))
			.getOrElseThrow((failure) -> new IllegalStateException(path + ": " + failure.message()));
	}

}
