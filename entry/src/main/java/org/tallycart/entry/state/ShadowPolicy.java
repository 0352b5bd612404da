package org.tallycart.entry.state;

import java.util.function.Consumer;

import org.tallycart.core.policy.BuiltInPolicy;
import org.tallycart.core.policy.LoadFacts;
import org.tallycart.core.policy.Policy;
import org.tallycart.core.policy.RequestFacts;
import org.tallycart.core.policy.UpstreamFacts;

/**
 * Applies the built-in policy and reports decisions in which a candidate policy differs.
 * <p>
 * Immutable and thread-safe.
 *
 * @since 0.1
 */
final class ShadowPolicy implements Policy {

	private final String id;

	private final Policy candidate;

	private final Consumer<String> report;

	ShadowPolicy(String id, Policy candidate, Consumer<String> report) {
		this.id = id;
		this.candidate = candidate;
		this.report = report;
	}

	@Override
	public boolean admit(RequestFacts request) {
		return compare("admit", BuiltInPolicy.INSTANCE.admit(request), this.candidate.admit(request));
	}

	@Override
	public long priority(RequestFacts request) {
		return compare("priority", BuiltInPolicy.INSTANCE.priority(request), this.candidate.priority(request));
	}

	@Override
	public double place(RequestFacts request, UpstreamFacts upstream) {
		return compare("place", BuiltInPolicy.INSTANCE.place(request, upstream),
				this.candidate.place(request, upstream));
	}

	@Override
	public boolean shed(RequestFacts request, LoadFacts load) {
		return compare("shed", BuiltInPolicy.INSTANCE.shed(request, load), this.candidate.shed(request, load));
	}

	private <T> T compare(String rule, T actual, T proposed) {
		if (!actual.equals(proposed)) {
			this.report.accept(this.id + "." + rule + ": decided " + actual + ", would decide " + proposed);
		}
		return actual;
	}

}
