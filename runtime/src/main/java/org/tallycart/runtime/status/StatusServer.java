package org.tallycart.runtime.status;

import java.io.IOException;
import java.net.URI;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.tallycart.core.ini.Address;
import org.tallycart.http.BlockingHttpServer;
import org.tallycart.runtime.event.Event;
import org.tallycart.runtime.event.EventLog;

/**
 * HTTP server of a process that serves {@code /healthz}, {@code /readyz},
 * {@code /metrics}, {@code /events} and {@code /status}.
 * <p>
 * Thread-safe.
 *
 * @since 0.1
 */
public final class StatusServer implements AutoCloseable {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final int MAX_CONNECTIONS = 16;

	private static final int OK = 200;

	private static final int NOT_FOUND = 404;

	private static final int UNAVAILABLE = 503;

	private final EventLog events;

	private final MetricRegistry metrics;

	private final BooleanSupplier ready;

	private final Supplier<ObjectNode> status;

	private BlockingHttpServer httpServer;

	@SuppressWarnings("NullAway.Init")
	private StatusServer(EventLog events, MetricRegistry metrics, BooleanSupplier ready, Supplier<ObjectNode> status) {
		this.events = events;
		this.metrics = metrics;
		this.ready = ready;
		this.status = status;
	}

	/**
	 * Register the metrics of the process and start the server.
	 * @param address the address to listen on
	 * @param events the events of the process
	 * @param metrics the metrics of the process
	 * @param ready returns whether the process accepts new work
	 * @param status supplies the body of {@code /status}
	 * @return the server, or the reason why it cannot listen on the address
	 */
	public static Either<String, StatusServer> start(Address address, EventLog events, MetricRegistry metrics,
			BooleanSupplier ready, Supplier<ObjectNode> status) {
		ProcessMetrics.register(metrics);
		StatusServer server = new StatusServer(events, metrics, ready, status);
		return BlockingHttpServer.start(address, "status", MAX_CONNECTIONS, server::handle).map((httpServer) -> {
			server.httpServer = httpServer;
			return server;
		});
	}

	private void handle(ClassicHttpRequest request, ClassicHttpResponse response, HttpContext context)
			throws IOException {
		URI uri = URI.create(request.getRequestUri());
		switch (uri.getPath()) {
			case "/healthz" -> respond(response, OK, JSON.createObjectNode().put("healthy", true));
			case "/readyz" -> {
				boolean isReady = this.ready.getAsBoolean();
				respond(response, isReady ? OK : UNAVAILABLE, JSON.createObjectNode().put("ready", isReady));
			}
			case "/metrics" -> respond(response, OK, MetricsJson.write(this.metrics));
			case "/events" -> respond(response, OK, events(requestId(uri)));
			case "/status" -> respond(response, OK, this.status.get());
			default -> respond(response, NOT_FOUND, JSON.createObjectNode().put("error", "no such path"));
		}
	}

	private static String requestId(URI uri) {
		return Optional.ofNullable(uri.getQuery())
			.flatMap((query) -> List.of(query.split("&"))
				.stream()
				.filter((part) -> part.startsWith("request="))
				.map((part) -> part.substring("request=".length()))
				.findFirst())
			.orElse("");
	}

	private ArrayNode events(String requestId) {
		ArrayNode array = JSON.createArrayNode();
		for (Event event : this.events.events(requestId)) {
			array.addObject()
				.put("ms", event.at().physicalMs())
				.put("logical", event.at().logical())
				.put("process", event.process())
				.put("code", event.code().code())
				.put("name", event.code().name())
				.put("request", event.requestId())
				.put("detail", event.detail());
		}
		return array;
	}

	private static void respond(ClassicHttpResponse response, int code, JsonNode body) throws IOException {
		response.setCode(code);
		response.setEntity(new ByteArrayEntity(JSON.writeValueAsBytes(body), ContentType.APPLICATION_JSON));
	}

	/**
	 * Return the port that the server listens on.
	 * @return the port
	 */
	public int port() {
		return this.httpServer.port();
	}

	@Override
	public void close() {
		this.httpServer.close();
	}

}
