package org.tallycart.load;

import java.util.ArrayList;
import java.util.List;

import io.vavr.control.Either;
import org.tallycart.core.ini.IniParser;
import org.tallycart.core.ini.IniSection;
import org.tallycart.core.ini.Problem;
import org.tallycart.core.ini.SectionReader;

/**
 * What load to make.
 *
 * @param ratePerSecond arrivals a second, on average
 * @param durationMs how long requests arrive
 * @param seed of arrivals and choices
 * @param burstAtMs when a burst begins
 * @param burstMs how long it lasts; 0 for none
 * @param burstFactor by how much the rate rises in it
 * @param resubmissions how often a request that may not be repeated is submitted again
 * @param mix the kinds of request
 * @since 0.1
 */
public record Scenario(double ratePerSecond, long durationMs, long seed, long burstAtMs, long burstMs,
		double burstFactor, int resubmissions, List<RequestKind> mix) {

	private static final long HOUR_MS = 3_600_000;

	private static final double MAX_RATE = 100_000;

	/**
	 * Read a scenario.
	 * @param file the name to report problems under
	 * @param text the text
	 * @return the scenario, or everything that is wrong with it
	 */
	public static Either<List<Problem>, Scenario> read(String file, String text) {
		List<Problem> problems = new ArrayList<>();
		List<RequestKind> mix = new ArrayList<>();
		Scenario scenario = new Scenario(10, 10_000, 1, 0, 0, 1, 3, mix);
		for (IniSection section : IniParser.read(file, text, problems)) {
			SectionReader reader = SectionReader.of(section, problems);
			if (section.kind().equals("request")) {
				mix.add(kind(section.id(), reader));
			}
			else if (section.name().equals("load")) {
				scenario = load(reader, mix);
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

	private static Scenario load(SectionReader reader, List<RequestKind> mix) {
		return new Scenario(reader.decimal("rate-per-second", 10, 0.01, MAX_RATE),
				reader.durationMs("duration", 10_000, 1, HOUR_MS), reader.number("seed", 1, 0, Long.MAX_VALUE),
				reader.durationMs("burst-at", 0, 0, HOUR_MS), reader.durationMs("burst-duration", 0, 0, HOUR_MS),
				reader.decimal("burst-factor", 1, 1, 100), (int) reader.number("resubmissions", 3, 0, 100), mix);
	}

	private static RequestKind kind(String name, SectionReader reader) {
		int most = (int) reader.number("max-tokens", 16, 1, 32_768);
		return new RequestKind(name, reader.decimal("weight", 1, 0, MAX_RATE), reader.text("pipeline"),
				reader.list("workspaces"), reader.text("label", ""), reader.durationMs("deadline", 11_000, 1, HOUR_MS),
				(int) reader.number("min-tokens", most, 1, most), most, reader.flag("stream", false),
				reader.flag("repeatable", true), (int) reader.number("sessions", 0, 0, 100_000));
	}

	/**
	 * Return a copy with another rate.
	 * @param rate arrivals a second
	 * @return the copy
	 */
	public Scenario withRate(double rate) {
		return new Scenario(rate, this.durationMs, this.seed, this.burstAtMs, this.burstMs, this.burstFactor,
				this.resubmissions, this.mix);
	}

	/**
	 * Return a copy that lasts another time.
	 * @param millis how long
	 * @return the copy
	 */
	public Scenario withDuration(long millis) {
		return new Scenario(this.ratePerSecond, millis, this.seed, this.burstAtMs, this.burstMs, this.burstFactor,
				this.resubmissions, this.mix);
	}

	/**
	 * A kind of request.
	 *
	 * @param name its name in the report
	 * @param weight its share of arrivals
	 * @param pipeline the pipeline
	 * @param workspaces the workspaces it comes from
	 * @param label the label of the kind of work
	 * @param deadlineMs its deadline
	 * @param minTokens tokens it asks for, at least
	 * @param maxTokens tokens it asks for, at most
	 * @param stream whether the answer is streamed
	 * @param repeatable whether it may be repeated
	 * @param sessions how many question prefixes its requests share; 0 for none
	 */
	public record RequestKind(String name, double weight, String pipeline, List<String> workspaces, String label,
			long deadlineMs, int minTokens, int maxTokens, boolean stream, boolean repeatable, int sessions) {
	}

}
