package org.tallycart.integration;

import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.tallycart.load.LoadReport;
import org.tallycart.standin.FaultProxy;
import org.tallycart.testbed.FleetShape;
import org.tallycart.testbed.ProcessHttp;
import org.tallycart.testbed.Waiting;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Every answer is whole and its own, whatever the upstreams and the network do.
 */
public class AnswerIntegrityTests extends AbstractFleetTests {

	private static final String NO_FAULT = "{\"truncate_percent\":0,\"foreign_percent\":0,\"fail_percent\":0,\"slow_factor\":1}";

	@Override
	FleetShape shape() {
		return FleetShape.bogota(2).withUpstreamProxies();
	}

	@AfterMethod
	void mend() {
		fleet().upstreamFault((id) -> true, NO_FAULT);
	}

	@DataProvider
	Object[][] faults() {
		return new Object[][] { { "generate", "{\"truncate_percent\":30}", 0.6 },
				{ "encode", "{\"foreign_percent\":20}", 0.6 }, { "generate", "{\"foreign_percent\":20}", 0.6 },
				{ "rerank", "{\"fail_percent\":20}", 0.6 }, { "retrieve-1", "{\"slow_factor\":40}", 0.9 } };
	}

	@Test(dataProvider = "faults")
	void noAnswerIsShortOrAnothers(String prefix, String fault, double leastWhole) {
		fleet().upstreamFault((id) -> id.startsWith(prefix), fault);
		LoadReport report = LoadBehind.start(fleet(), 30, 3_000, LoadBehind.questions(), LoadBehind.wholeQuestions())
			.await();
		assertEquals(report.violations(), List.of());
		assertEquals(report.count("NONE"), 0, report.text());
		assertTrue(report.count("COMPLETE") >= leastWhole * report.total(), report.text());
	}

	@Test
	void connectionsThatAreCutInMidStreamLoseAndRepeatNothing() {
		LoadBehind load = LoadBehind.start(fleet(), 30, 4_000, LoadBehind.questions());
		for (int i = 0; i < 12; i++) {
			Waiting.pause(250);
			fleet().proxy("generate-" + (1 + i % 8)).cut();
		}
		LoadReport report = load.await();
		assertEquals(report.violations(), List.of());
		assertTrue(report.count("COMPLETE") >= 0.8 * report.total(), report.text());
		assertTrue(events("STREAM_RESUMED") > 0, "some stream was resumed elsewhere");
	}

	@Test
	void anUpstreamThatAcceptsAndNeverAnswersCostsFewRequests() {
		FaultProxy proxy = fleet().proxy("encode-2");
		proxy.towardsCaller().drop(true);
		LoadReport report = LoadBehind.start(fleet(), 30, 4_000, LoadBehind.wholeQuestions()).await();
		proxy.towardsCaller().drop(false);
		proxy.cut();
		assertEquals(report.violations(), List.of());
		assertTrue(report.count("COMPLETE") >= 0.9 * report.total(), report.text());
	}

	private long events(String name) {
		long count = 0;
		for (int i = 0; i < fleet().size(); i++) {
			for (JsonNode event : ProcessHttp.get(fleet().vm(i).entry().address("status"), "/events")) {
				count += event.path("name").asText().equals(name) ? 1 : 0;
			}
		}
		return count;
	}

}
