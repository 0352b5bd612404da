package org.tallycart.integration;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.tallycart.load.LoadGenerator;
import org.tallycart.load.LoadTestReport;
import org.tallycart.load.Scenario;
import org.tallycart.testbed.LocalFleet;

/**
 * Load that runs in the background while a test injects faults.
 */
final class BackgroundLoad {

	private static final List<String> WORKSPACES = List.of("chapinero-norte", "fontibon-plaza", "kennedy-central",
			"usaquen-mercado", "suba-express");

	private final CompletableFuture<LoadTestReport> report;

	private BackgroundLoad(CompletableFuture<LoadTestReport> report) {
		this.report = report;
	}

	static BackgroundLoad start(LocalFleet fleet, double rate, long durationMs, Scenario.RequestKind... kinds) {
		Scenario scenario = new Scenario(rate, durationMs, 5, 0, 0, 1, 3, List.of(kinds));
		return new BackgroundLoad(
				CompletableFuture.supplyAsync(() -> LoadGenerator.run(scenario, fleet::entryAddresses)));
	}

	static Scenario.RequestKind confirmations() {
		return new Scenario.RequestKind("courier", 1, "dispatch", WORKSPACES, "courier", 1_200, 1, 1, false, false, 0);
	}

	static Scenario.RequestKind questions() {
		return new Scenario.RequestKind("shopper", 1, "assistant", WORKSPACES, "shopper", 6_000, 8, 40, true, true, 0);
	}

	static Scenario.RequestKind unaryQuestions() {
		return new Scenario.RequestKind("clerk", 1, "assistant", WORKSPACES, "clerk", 6_000, 4, 20, false, true, 0);
	}

	/** Await the end of the load. */
	LoadTestReport await() {
		return this.report.join();
	}

}
