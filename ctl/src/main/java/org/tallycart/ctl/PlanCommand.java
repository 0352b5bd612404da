package org.tallycart.ctl;

import java.nio.file.Path;
import java.util.List;
import java.util.SortedMap;
import java.util.concurrent.Callable;
import java.util.stream.Stream;

import io.vavr.control.Either;
import org.tallycart.core.ini.Problem;
import org.tallycart.core.replication.MergeConflict;
import org.tallycart.core.replication.ThreeWayMerge;
import org.tallycart.platform.PlatformError;
import org.tallycart.runtime.process.ExitCode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Prints the changes that an apply would make.
 * <p>
 * Not thread-safe.
 *
 * @since 0.1
 */
@Command(name = "plan", mixinStandardHelpOptions = true, description = "Show what an apply would change.")
final class PlanCommand implements Callable<Integer> {

	@Parameters(paramLabel = "DIR", description = "The directory of declarations.")
	private Path directory = Path.of(".");

	@Option(names = "--base", paramLabel = "VERSION", defaultValue = "-1",
			description = "The version the directory began from. Default: what it has written down.")
	private long base;

	@Mixin
	private FleetOptions fleet = new FleetOptions();

	@Override
	public Integer call() {
		Either<List<Problem>, SortedMap<String, String>> mine = DeclarationDirectory.read(this.directory);
		if (mine.isLeft()) {
			mine.getLeft().forEach((problem) -> System.err.println(problem));
			return ExitCode.REFUSED;
		}
		ConfigStore store = this.fleet.configStore();
		long version = (this.base >= 0) ? this.base : DeclarationDirectory.readBaseVersion(this.directory);
		Either<PlatformError, ConfigHead> head = store.readHead();
		Either<PlatformError, SortedMap<String, String>> theirs = head
			.flatMap((stored) -> store.readSections(stored.manifest().parts()));
		Either<PlatformError, SortedMap<String, String>> baseSections = head
			.flatMap((stored) -> store.readVersion(stored, version));
		if (theirs.isLeft() || baseSections.isLeft()) {
			System.err.println((theirs.isLeft() ? theirs : baseSections).getLeft().message());
			return ExitCode.FAILED;
		}
		return printPlan(ThreeWayMerge.merge(baseSections.get(), mine.get(), theirs.get()), theirs.get(),
				head.get().manifest().version());
	}

	private static int printPlan(Either<List<MergeConflict>, SortedMap<String, String>> merged,
			SortedMap<String, String> theirs, long version) {
		if (merged.isLeft()) {
			merged.getLeft().forEach((conflict) -> System.out.println("conflict [" + conflict.section() + "]"));
			return ExitCode.CONFLICT;
		}
		List<String> changed = ThreeWayMerge.changedNames(theirs, merged.get());
		System.out
			.println("version " + version + " -> " + (version + 1) + ": " + changed.size() + " declarations change");
		for (String section : changed) {
			diffLines(theirs.getOrDefault(section, ""), merged.get().getOrDefault(section, ""))
				.forEach(System.out::println);
		}
		return ExitCode.OK;
	}

	private static List<String> diffLines(String before, String after) {
		List<String> old = before.lines().toList();
		List<String> now = after.lines().toList();
		return Stream
			.concat(old.stream().filter((line) -> !now.contains(line)).map((line) -> "  - " + line),
					now.stream()
						.filter((line) -> !old.contains(line) || line.startsWith("["))
						.map((line) -> (old.contains(line) ? "    " : "  + ") + line))
			.toList();
	}

}
