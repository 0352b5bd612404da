package org.tallycart.integration;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.tallycart.load.LoadReport;
import org.tallycart.load.LoadRun;
import org.tallycart.load.Scenario;
import org.tallycart.testbed.LocalFleet;

/**
 * Load that runs in the background while a test brings failures about.
 */
final class LoadBehind {

	private static final List<String> WORKSPACES = List.of("chapinero-norte", "fontibon-plaza", "kennedy-central",
			"usaquen-mercado", "suba-express");

	private final CompletableFuture<LoadReport> report;

	private LoadBehind(CompletableFuture<LoadReport> report) {
		this.report = report;
	}

	static LoadBehind start(LocalFleet fleet, double rate, long durationMs, Scenario.Kind... kinds) {
		Scenario scenario = new Scenario(rate, durationMs, 5, 0, 0, 1, 3, List.of(kinds));
		return new LoadBehind(CompletableFuture.supplyAsync(() -> LoadRun.run(scenario, fleet::entries)));
	}

	static Scenario.Kind confirmations() {
		return new Scenario.Kind("courier", 1, "dispatch", WORKSPACES, "courier", 1_200, 1, 1, false, false, 0);
	}

	static Scenario.Kind questions() {
		return new Scenario.Kind("shopper", 1, "assistant", WORKSPACES, "shopper", 6_000, 8, 40, true, true, 0);
	}

	static Scenario.Kind wholeQuestions() {
		return new Scenario.Kind("clerk", 1, "assistant", WORKSPACES, "clerk", 6_000, 4, 20, false, true, 0);
	}

	LoadReport await() {
		return this.report.join();
	}

}
