package org.tallycart.ctl;

import java.util.SortedMap;
import java.util.concurrent.Callable;

import io.vavr.control.Either;
import org.tallycart.platform.PlatformError;
import org.tallycart.runtime.process.ExitCode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Prints the declarations of an accepted version.
 * <p>
 * Not thread-safe.
 *
 * @since 0.1
 */
@Command(name = "show", mixinStandardHelpOptions = true, description = "Print accepted declarations.")
final class ShowCommand implements Callable<Integer> {

	@Parameters(paramLabel = "NAME", arity = "0..1", defaultValue = "",
			description = "Only sections whose name begins so, such as 'pipeline'.")
	private String prefix = "";

	@Option(names = "--version-of", paramLabel = "VERSION", defaultValue = "-1",
			description = "An earlier version. Default: the latest.")
	private long version;

	@Mixin
	private FleetOptions fleet = new FleetOptions();

	@Override
	public Integer call() {
		ConfigStore store = this.fleet.configStore();
		Either<PlatformError, SortedMap<String, String>> sections = store.readHead()
			.flatMap((head) -> store.readVersion(head, (this.version >= 0) ? this.version : head.manifest().version()));
		if (sections.isLeft()) {
			System.err.println(sections.getLeft().message());
			return ExitCode.FAILED;
		}
		sections.get().forEach((name, text) -> {
			if (name.startsWith(this.prefix)) {
				System.out.println(text);
			}
		});
		return ExitCode.OK;
	}

}
