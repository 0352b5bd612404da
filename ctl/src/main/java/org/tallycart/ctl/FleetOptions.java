package org.tallycart.ctl;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import org.tallycart.core.ini.Address;
import org.tallycart.http.HttpCall;
import org.tallycart.http.HttpConnection;
import org.tallycart.http.HttpReply;
import org.tallycart.platform.HttpObjectStore;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * Options shared by most commands: the addresses of the platform's service and of the
 * fleet's processes.
 * <p>
 * Not thread-safe.
 *
 * @since 0.1
 */
final class FleetOptions {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final long TIMEOUT_MS = 2_000;

	private static final String CALLER_NAME = "tallyctl";

	@Option(names = "--platform", paramLabel = "HOST:PORT", defaultValue = "${TALLYCART_PLATFORM:-127.0.0.1:7400}",
			description = "The platform's service; also from TALLYCART_PLATFORM. Default: ${DEFAULT-VALUE}")
	private String platform = "";

	@Option(names = "--fleet", paramLabel = "HOST:PORT", split = ",", defaultValue = "${TALLYCART_FLEET:-}",
			description = "Status ports of entries and stewards; also from TALLYCART_FLEET.")
	private List<String> fleet = new ArrayList<>();

	@Spec(Spec.Target.MIXEE)
	private picocli.CommandLine.Model.CommandSpec spec;

	@SuppressWarnings("NullAway.Init")
	FleetOptions() {
	}

	ConfigStore configStore() {
		return new ConfigStore(HttpObjectStore.create(parseAddress(this.platform), TIMEOUT_MS, CALLER_NAME));
	}

	List<Address> statusAddresses() {
		return this.fleet.stream().filter((text) -> !text.isBlank()).map(this::parseAddress).toList();
	}

	private Address parseAddress(String text) {
		Either<String, Address> parsed = Address.parse(text);
		if (parsed.isLeft()) {
			throw new ParameterException(this.spec.commandLine(), "'" + text + "' " + parsed.getLeft());
		}
		return parsed.get();
	}

	static Either<String, JsonNode> getJson(Address address, String path) {
		return HttpConnection.connect(address, TIMEOUT_MS).flatMap((connection) -> {
			try (connection) {
				return connection.call(HttpCall.get(path).build(), TIMEOUT_MS);
			}
		}).mapLeft((failure) -> failure.message()).flatMap(FleetOptions::parseJson);
	}

	private static Either<String, JsonNode> parseJson(HttpReply reply) {
		try {
			return Either.right(JSON.readTree(reply.body()));
		}
		catch (IOException ex) {
			return Either.left("the reply is not JSON: " + ex.getMessage());
		}
	}

}
