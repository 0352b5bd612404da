package org.tallycart.ctl;

import java.util.List;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.tallycart.core.replication.ManifestChange;
import org.tallycart.platform.PlatformError;
import org.tallycart.runtime.process.ExitCode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Lists the accepted changes, newest first.
 * <p>
 * Not thread-safe.
 *
 * @since 0.1
 */
@Command(name = "history", mixinStandardHelpOptions = true, description = "List accepted changes, newest first.")
final class HistoryCommand implements Callable<Integer> {

	@Option(names = "--change", paramLabel = "ID", defaultValue = "",
			description = "Only this change; exit code 1 if it was not accepted.")
	private String change = "";

	@Mixin
	private FleetOptions fleet = new FleetOptions();

	@Mixin
	private OutputOptions output = new OutputOptions();

	@Override
	public Integer call() {
		Either<PlatformError, ConfigHead> head = this.fleet.configStore().readHead();
		if (head.isLeft()) {
			System.err.println(head.getLeft().message());
			return ExitCode.FAILED;
		}
		List<ManifestChange> changes = head.get()
			.manifest()
			.history()
			.stream()
			.filter((entry) -> this.change.isEmpty() || entry.id().equals(this.change))
			.toList();
		if (this.output.isJson()) {
			printJson(changes);
		}
		else {
			changes.forEach((entry) -> System.out.println(entry.version() + "  " + entry.id() + "  " + entry.author()
					+ "  " + String.join(", ", entry.sections())));
		}
		return (!this.change.isEmpty() && changes.isEmpty()) ? ExitCode.FAILED : ExitCode.OK;
	}

	private void printJson(List<ManifestChange> changes) {
		ArrayNode array = new ObjectMapper().createArrayNode();
		for (ManifestChange entry : changes) {
			ObjectNode node = array.addObject()
				.put("version", entry.version())
				.put("change", entry.id())
				.put("author", entry.author());
			entry.sections().forEach(node.putArray("sections")::add);
		}
		this.output.printJson(array);
	}

}
