package org.tallycart.core.declaration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.vavr.control.Either;
import org.tallycart.core.ini.Address;
import org.tallycart.core.ini.IniSection;
import org.tallycart.core.ini.Problem;
import org.tallycart.core.ini.SectionReader;

/**
 * Reads declarations from INI sections and checks their consistency.
 * <p>
 * Not thread-safe: each instance reads one set of sections.
 *
 * @since 0.1
 */
public final class DeclarationReader {

	private static final long MAX_DEADLINE_MS = 3_600_000;

	private static final int MAX_STAGES = 8;

	private static final int MAX_ATTEMPTS = 5;

	private static final double MAX_RATE = 1_000_000;

	private static final int DEFAULT_SLOTS = 4;

	private static final int MAX_SLOTS = 4096;

	private static final int MAX_DOCUMENTS = 64;

	private static final long DEFAULT_DEADLINE_MS = 11_000;

	private final PolicyChecker policyChecker;

	private final List<Problem> problems = new ArrayList<>();

	private final Map<String, Pipeline> pipelines = new HashMap<>();

	private final Map<String, Service> services = new HashMap<>();

	private final Map<String, Workspace> workspaces = new HashMap<>();

	private final Map<String, PolicySource> policies = new HashMap<>();

	private final Map<String, IniSection> pipelineSections = new HashMap<>();

	private final Set<String> upstreamIds = new HashSet<>();

	private DeclarationReader(PolicyChecker policyChecker) {
		this.policyChecker = policyChecker;
	}

	/**
	 * Read and check declarations.
	 * @param sections the sections
	 * @param policyChecker the checker for the rules of policies
	 * @return the declarations, or all problems found
	 */
	public static Either<List<Problem>, Declarations> read(List<IniSection> sections, PolicyChecker policyChecker) {
		DeclarationReader reader = new DeclarationReader(policyChecker);
		sections.forEach(reader::readSection);
		reader.checkReferences();
		if (!reader.problems.isEmpty()) {
			return Either.left(reader.problems);
		}
		return Either.right(new Declarations(reader.pipelines, reader.services, reader.workspaces, reader.policies));
	}

	private void readSection(IniSection section) {
		SectionReader reader = SectionReader.of(section, this.problems);
		if (section.id().isEmpty()) {
			this.problems.add(new Problem(section.file(), section.line(), 1,
					"[" + section.name() + "] lacks a name after its kind",
					"[pipeline NAME], [service NAME], [workspace NAME] or [policy NAME]"));
			return;
		}
		switch (section.kind()) {
			case "pipeline" -> readPipeline(section, reader);
			case "service" -> readService(section, reader);
			case "workspace" -> readWorkspace(section, reader);
			case "policy" -> readPolicy(section, reader);
			default -> {
				this.problems.add(new Problem(section.file(), section.line(), 1,
						"'" + section.kind() + "' is not a kind of declaration",
						"one of pipeline, service, workspace, policy"));
				return;
			}
		}
		reader.reportUnknownKeys();
	}

	private void readPipeline(IniSection section, SectionReader reader) {
		List<String> stages = reader.list("stages");
		if (stages.isEmpty() || stages.size() > MAX_STAGES) {
			reader.problem("stages", "has " + stages.size() + " stages", "from 1 to " + MAX_STAGES);
		}
		this.pipelines.put(section.id(),
				new Pipeline(section.id(), stages,
						reader.durationMs("deadline", DEFAULT_DEADLINE_MS, 1, MAX_DEADLINE_MS),
						(int) reader.number("max-attempts", 2, 1, MAX_ATTEMPTS), reader.text("policy", ""),
						(int) reader.number("top-documents", 2, 1, MAX_DOCUMENTS)));
		this.pipelineSections.put(section.id(), section);
	}

	private void readService(IniSection section, SectionReader reader) {
		StageKind kind = reader.enumValue("kind", StageKind.class, StageKind.PLAIN);
		List<Upstream> upstreams = new ArrayList<>();
		for (String item : reader.list("upstreams")) {
			readUpstream(item, reader, upstreams);
		}
		this.services.put(section.id(),
				new Service(section.id(), kind, reader.text("model", ""), reader.text("path", "/call"),
						reader.decimal("cost-per-call", 1, 0, MAX_RATE),
						reader.decimal("cost-per-token", 0, 0, MAX_RATE),
						reader.enumValue("balancer", BalancerKind.class, BalancerKind.LEAST_LOAD_AGED), upstreams));
	}

	private void readUpstream(String item, SectionReader reader, List<Upstream> upstreams) {
		String[] fields = item.split("\\s+");
		if (fields.length < 3 || fields.length > 4) {
			reader.problem("upstreams", "'" + item + "' is not an upstream", "ID HOST:PORT DOMAIN [SLOTS]");
			return;
		}
		Either<String, Address> address = Address.parse(fields[1]);
		if (address.isLeft()) {
			reader.problem("upstreams", "'" + fields[1] + "' " + address.getLeft(), "host:port");
			return;
		}
		if (!this.upstreamIds.add(fields[0])) {
			reader.problem("upstreams", "'" + fields[0] + "' is declared twice", "");
		}
		upstreams.add(new Upstream(fields[0], address.get(), fields[2], parseSlots(fields, reader)));
	}

	private static int parseSlots(String[] fields, SectionReader reader) {
		if (fields.length < 4) {
			return DEFAULT_SLOTS;
		}
		try {
			int slots = Integer.parseInt(fields[3]);
			if (slots >= 1 && slots <= MAX_SLOTS) {
				return slots;
			}
		}
		catch (NumberFormatException ex) {
			// Reported below, like a number out of bounds.
		}
		reader.problem("upstreams", "'" + fields[3] + "' is not a number of slots", "from 1 to " + MAX_SLOTS);
		return DEFAULT_SLOTS;
	}

	private void readWorkspace(IniSection section, SectionReader reader) {
		this.workspaces.put(section.id(),
				new Workspace(section.id(), reader.decimal("weight", 1, 0.01, 1000),
						reader.decimal("requests-per-second", 0, 0, MAX_RATE),
						(int) reader.number("concurrency", 0, 0, (long) MAX_RATE)));
	}

	private void readPolicy(IniSection section, SectionReader reader) {
		PolicySource source = new PolicySource(section.id(), reader.text("admit", ""), reader.text("priority", ""),
				reader.text("place", ""), reader.text("shed", ""), reader.flag("shadow", false));
		this.problems.addAll(this.policyChecker.check(section, source));
		this.policies.put(section.id(), source);
	}

	private void checkReferences() {
		for (Pipeline pipeline : this.pipelines.values()) {
			IniSection section = this.pipelineSections.getOrDefault(pipeline.id(), null);
			if (section == null) {
				continue;
			}
			SectionReader reader = SectionReader.of(section, this.problems);
			for (String stage : pipeline.stages()) {
				if (!this.services.containsKey(stage)) {
					reader.problem("stages", "'" + stage + "' is not a declared service", "");
				}
			}
			if (!pipeline.policy().isEmpty() && !this.policies.containsKey(pipeline.policy())) {
				reader.problem("policy", "'" + pipeline.policy() + "' is not a declared policy", "");
			}
			checkStageOrder(pipeline, reader);
		}
	}

	private void checkStageOrder(Pipeline pipeline, SectionReader reader) {
		StageKind previous = null;
		for (String stage : pipeline.stages()) {
			Service service = this.services.get(stage);
			if (service == null) {
				return;
			}
			if (previous != null && (service.kind() == StageKind.PLAIN || previous == StageKind.PLAIN)) {
				reader.problem("stages", "a plain service cannot be combined with other stages",
						"declare a pipeline with this stage only");
				return;
			}
			if (previous != null && service.kind().compareTo(previous) < 0) {
				reader.problem("stages", "'" + stage + "' stands after a later kind of stage",
						"encode, retrieve, rerank, generate");
			}
			previous = service.kind();
		}
	}

}
