package org.tallycart.ctl;

import java.nio.file.Path;
import java.util.List;
import java.util.SortedMap;
import java.util.concurrent.Callable;

import io.vavr.control.Either;
import org.tallycart.core.ini.Problem;
import org.tallycart.runtime.process.ExitCode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/**
 * Checks a directory of declarations without changing anything.
 * <p>
 * Not thread-safe.
 *
 * @since 0.1
 */
@Command(name = "validate", mixinStandardHelpOptions = true, description = "Check a directory of declarations.")
final class ValidateCommand implements Callable<Integer> {

	@Parameters(paramLabel = "DIR", description = "The directory.")
	private Path directory = Path.of(".");

	@Override
	public Integer call() {
		Either<List<Problem>, SortedMap<String, String>> read = DeclarationDirectory.read(this.directory);
		if (read.isLeft()) {
			read.getLeft().forEach((problem) -> System.err.println(problem));
			return ExitCode.REFUSED;
		}
		System.out.println(read.get().size() + " declarations are valid");
		return ExitCode.OK;
	}

}
