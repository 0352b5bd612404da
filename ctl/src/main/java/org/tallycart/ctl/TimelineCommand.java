package org.tallycart.ctl;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import io.vavr.control.Either;
import org.tallycart.core.ini.Address;
import org.tallycart.runtime.process.ExitCode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Merges the events of all processes into one timeline, ordered by hybrid logical time,
 * so that no event precedes its cause.
 * <p>
 * Not thread-safe.
 *
 * @since 0.1
 */
@Command(name = "timeline", mixinStandardHelpOptions = true, description = "Merge the events of all processes.")
final class TimelineCommand implements Callable<Integer> {

	@Option(names = "--request", paramLabel = "ID", defaultValue = "", description = "Only this request's events.")
	private String request = "";

	@Option(names = "--last", paramLabel = "COUNT", defaultValue = "200",
			description = "Print the latest events only. Default: ${DEFAULT-VALUE}")
	private int last;

	@Mixin
	private FleetOptions fleet = new FleetOptions();

	@Mixin
	private OutputOptions output = new OutputOptions();

	@Override
	public Integer call() {
		List<JsonNode> events = new ArrayList<>();
		boolean allReached = true;
		for (Address address : this.fleet.statusAddresses()) {
			Either<String, JsonNode> reply = FleetOptions.getJson(address, "/events?request=" + this.request);
			allReached &= reply.isRight();
			reply.peekLeft((error) -> System.err.println(address + " unreachable: " + error));
			reply.peek((array) -> array.forEach(events::add));
		}
		events.sort(Comparator.comparingLong((JsonNode event) -> event.path("ms").asLong())
			.thenComparingInt((event) -> event.path("logical").asInt())
			.thenComparing((event) -> event.path("process").asText()));
		print(events.subList(Math.max(events.size() - this.last, 0), events.size()));
		return allReached ? ExitCode.OK : ExitCode.FAILED;
	}

	private void print(List<JsonNode> events) {
		if (this.output.isJson()) {
			ArrayNode array = new ObjectMapper().createArrayNode();
			this.output.printJson(array.addAll(events));
			return;
		}
		for (JsonNode event : events) {
			System.out.printf("%d.%03d %-16s %s %-22s %s %s%n", event.path("ms").asLong(),
					event.path("logical").asInt(), event.path("process").asText(), event.path("code").asText(),
					event.path("name").asText(), event.path("request").asText(), event.path("detail").asText());
		}
	}

}
