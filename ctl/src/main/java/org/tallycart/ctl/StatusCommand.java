package org.tallycart.ctl;

import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import io.vavr.control.Either;
import org.tallycart.core.ini.Address;
import org.tallycart.runtime.process.ExitCode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/**
 * Prints the status of every process named by {@code --fleet}.
 * <p>
 * Not thread-safe.
 *
 * @since 0.1
 */
@Command(name = "status", mixinStandardHelpOptions = true, description = "Print the status of entries and stewards.")
final class StatusCommand implements Callable<Integer> {

	@Mixin
	private FleetOptions fleet = new FleetOptions();

	@Mixin
	private OutputOptions output = new OutputOptions();

	@Override
	public Integer call() {
		ArrayNode all = new ObjectMapper().createArrayNode();
		boolean allReached = true;
		for (Address address : this.fleet.statusAddresses()) {
			Either<String, JsonNode> status = FleetOptions.getJson(address, "/status");
			allReached &= status.isRight();
			if (!this.output.isJson()) {
				System.out.println(address + " " + status.fold((error) -> "unreachable: " + error, JsonNode::toString));
			}
			all.addObject().put("address", address.toString()).set("status", status.getOrElse(all.nullNode()));
		}
		if (this.output.isJson()) {
			this.output.printJson(all);
		}
		return allReached ? ExitCode.OK : ExitCode.FAILED;
	}

}
