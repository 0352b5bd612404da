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
 * Lists accepted changes.
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
		Either<PlatformError, ConfigHead> head = this.fleet.config().head();
		if (head.isLeft()) {
			System.err.println(head.getLeft().message());
			return ExitCode.FAILED;
		}
		List<ManifestChange> changes = head.get()
			.manifest()
			.history()
			.stream()
			.filter((known) -> this.change.isEmpty() || known.id().equals(this.change))
			.toList();
		if (this.output.json()) {
			print(changes);
		}
		else {
			changes.forEach((known) -> System.out.println(known.version() + "  " + known.id() + "  " + known.author()
					+ "  " + String.join(", ", known.sections())));
		}
		return (!this.change.isEmpty() && changes.isEmpty()) ? ExitCode.FAILED : ExitCode.OK;
	}

	private void print(List<ManifestChange> changes) {
		ArrayNode array = new ObjectMapper().createArrayNode();
		for (ManifestChange known : changes) {
			ObjectNode node = array.addObject()
				.put("version", known.version())
				.put("change", known.id())
				.put("author", known.author());
			known.sections().forEach(node.putArray("sections")::add);
		}
		this.output.print(array);
	}

}
