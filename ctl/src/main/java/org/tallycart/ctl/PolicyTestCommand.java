package org.tallycart.ctl;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.tallycart.core.declaration.DeclarationReader;
import org.tallycart.core.declaration.Declarations;
import org.tallycart.core.declaration.PolicySource;
import org.tallycart.core.ini.Address;
import org.tallycart.core.ini.IniParser;
import org.tallycart.core.ini.IniSection;
import org.tallycart.core.ini.Problem;
import org.tallycart.core.policy.Policy;
import org.tallycart.core.policy.RecordedDecision;
import org.tallycart.policy.CelPolicyCompiler;
import org.tallycart.runtime.process.ExitCode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Evaluates a candidate policy against the requests that the fleet's entries recorded.
 * Only the rules admit and priority are evaluated, as place and shed depend on the
 * current load.
 * <p>
 * Not thread-safe.
 *
 * @since 0.1
 */
@Command(name = "test", mixinStandardHelpOptions = true,
		description = "Show which recorded requests a candidate policy would decide otherwise.")
final class PolicyTestCommand implements Callable<Integer> {

	private static final int MAX_EXAMPLES = 10;

	@Parameters(paramLabel = "DIR", description = "The directory of declarations that holds the candidate.")
	private Path directory = Path.of(".");

	@Option(names = "--policy", required = true, paramLabel = "NAME", description = "The candidate.")
	private String policy = "";

	@Option(names = "--pipeline", paramLabel = "NAME", defaultValue = "",
			description = "Only this pipeline's requests.")
	private String pipeline = "";

	@Mixin
	private FleetOptions fleet = new FleetOptions();

	@Override
	public Integer call() {
		Either<List<Problem>, SortedMap<String, String>> texts = DeclarationDirectory.read(this.directory);
		if (texts.isLeft()) {
			texts.getLeft().forEach((problem) -> System.err.println(problem));
			return ExitCode.REFUSED;
		}
		PolicySource source = declarations(texts.get()).policies().get(this.policy);
		if (source == null) {
			System.err.println("policy '" + this.policy + "' is not declared in " + this.directory);
			return ExitCode.USAGE;
		}
		List<String> failures = new ArrayList<>();
		Policy candidate = CelPolicyCompiler.create()
			.compile(source, (id, rule, message) -> failures.add(rule + ": " + message));
		compare(candidate, fetchRecorded());
		failures.stream().distinct().forEach((failure) -> System.out.println("  rule failed: " + failure));
		return failures.isEmpty() ? ExitCode.OK : ExitCode.FAILED;
	}

	private static Declarations declarations(SortedMap<String, String> texts) {
		List<IniSection> sections = new ArrayList<>();
		texts.forEach((name, text) -> sections.addAll(IniParser.read(name, text, new ArrayList<>())));
		return DeclarationReader.read(sections, (section, source) -> List.of()).getOrElse(Declarations.EMPTY);
	}

	private List<RecordedDecision> fetchRecorded() {
		List<RecordedDecision> recorded = new ArrayList<>();
		for (Address address : this.fleet.statusAddresses()) {
			Either<String, JsonNode> events = FleetOptions.getJson(address, "/events");
			events.peekLeft((error) -> System.err.println(address + " unreachable: " + error));
			events.forEach((array) -> array.forEach((event) -> {
				if (event.path("name").asText().equals("REQUEST_ARRIVED")) {
					RecordedDecision.decode(event.path("detail").asText()).ifPresent(recorded::add);
				}
			}));
		}
		recorded.removeIf((decision) -> !this.pipeline.isEmpty() && !decision.facts().pipeline().equals(this.pipeline));
		return recorded;
	}

	private static void compare(Policy candidate, List<RecordedDecision> recorded) {
		int changed = 0;
		for (RecordedDecision decision : recorded) {
			boolean admits = candidate.admit(decision.facts());
			long priority = candidate.priority(decision.facts());
			boolean differs = !admits || priority != decision.priority();
			changed += differs ? 1 : 0;
			if (differs && changed <= MAX_EXAMPLES) {
				System.out.println("  " + decision.encode() + " -> " + (admits ? "priority=" + priority : "refused"));
			}
		}
		System.out.println(changed + " of " + recorded.size() + " recorded requests would be decided otherwise");
	}

}
