package org.tallycart.load;

import java.util.ArrayList;
import java.util.List;

import io.vavr.control.Either;
import org.tallycart.core.ini.IniParser;
import org.tallycart.core.ini.IniSection;
import org.tallycart.core.ini.Problem;
import org.tallycart.core.ini.SectionReader;

/**
 * Parameters of a load run.
 *
 * @param ratePerSecond mean arrival rate, in requests a second
 * @param durationMs time during which requests arrive
 * @param seed seed of the arrival times and random choices
 * @param burstAtMs start of the burst, from the start of the run
 * @param burstMs duration of the burst; 0 for none
 * @param burstFactor factor on the rate during the burst
 * @param resubmissions maximum number of resubmissions of a request that is not
 * repeatable
 * @param mix the kinds of request
 * @since 0.1
 */
public record Scenario(double ratePerSecond, long durationMs, long seed, long burstAtMs, long burstMs,
		double burstFactor, int resubmissions, List<RequestKind> mix) {

	private static final long HOUR_MS = 3_600_000;

	private static final double MAX_RATE = 100_000;

	/**
	 * Read a scenario.
	 * @param file the file name for problems
	 * @param text the scenario in INI
	 * @return the scenario, or all problems found
	 */
	public static Either<List<Problem>, Scenario> read(String file, String text) {
		List<Problem> problems = new ArrayList<>();
		List<RequestKind> mix = new ArrayList<>();
		Scenario scenario = new Scenario(10, 10_000, 1, 0, 0, 1, 3, mix);
		for (IniSection section : IniParser.read(file, text, problems)) {
			SectionReader reader = SectionReader.of(section, problems);
			if (section.kind().equals("request")) {
				mix.add(readKind(section.id(), reader));
			}
			else if (section.name().equals("load")) {
				scenario = readLoad(reader, mix);
			}
			else {
				problems.add(new Problem(file, section.line(), 1, "[" + section.name() + "] is not a known section",
						"[load] or [request NAME]"));
				continue;
			}
			reader.reportUnknownKeys();
		}
		if (mix.isEmpty()) {
			problems.add(new Problem(file, 0, 0, "no kind of request", "add a section [request NAME]"));
		}
		return problems.isEmpty() ? Either.right(scenario) : Either.left(problems);
	}

	private static Scenario readLoad(SectionReader reader, List<RequestKind> mix) {
		return new Scenario(reader.decimal("rate-per-second", 10, 0.01, MAX_RATE),
				reader.durationMs("duration", 10_000, 1, HOUR_MS), reader.number("seed", 1, 0, Long.MAX_VALUE),
				reader.durationMs("burst-at", 0, 0, HOUR_MS), reader.durationMs("burst-duration", 0, 0, HOUR_MS),
				reader.decimal("burst-factor", 1, 1, 100), (int) reader.number("resubmissions", 3, 0, 100), mix);
	}

	private static RequestKind readKind(String name, SectionReader reader) {
		int maxTokens = (int) reader.number("max-tokens", 16, 1, 32_768);
		return new RequestKind(name, reader.decimal("weight", 1, 0, MAX_RATE), reader.text("pipeline"),
				reader.list("workspaces"), reader.text("label", ""), reader.durationMs("deadline", 11_000, 1, HOUR_MS),
				(int) reader.number("min-tokens", maxTokens, 1, maxTokens), maxTokens, reader.flag("stream", false),
				reader.flag("repeatable", true), (int) reader.number("sessions", 0, 0, 100_000));
	}

	/**
	 * Return a copy with the given arrival rate.
	 * @param rate requests a second
	 * @return the copy
	 */
	public Scenario withRate(double rate) {
		return new Scenario(rate, this.durationMs, this.seed, this.burstAtMs, this.burstMs, this.burstFactor,
				this.resubmissions, this.mix);
	}

	/**
	 * Return a copy with the given duration.
	 * @param millis duration in milliseconds
	 * @return the copy
	 */
	public Scenario withDuration(long millis) {
		return new Scenario(this.ratePerSecond, millis, this.seed, this.burstAtMs, this.burstMs, this.burstFactor,
				this.resubmissions, this.mix);
	}

	/**
	 * Kind of request in the mix.
	 *
	 * @param name the name in the report
	 * @param weight share of the arrivals, relative to the other kinds
	 * @param pipeline the pipeline
	 * @param workspaces the workspaces, one of which is chosen at random for each request
	 * @param label the label of the request; empty for none
	 * @param deadlineMs deadline in milliseconds
	 * @param minTokens minimum of the requested tokens
	 * @param maxTokens maximum of the requested tokens
	 * @param stream whether the response is streamed
	 * @param repeatable whether the request may run more than once
	 * @param sessions number of prompt prefixes that the requests share; 0 for none
	 */
	public record RequestKind(String name, double weight, String pipeline, List<String> workspaces, String label,
			long deadlineMs, int minTokens, int maxTokens, boolean stream, boolean repeatable, int sessions) {
	}

}
