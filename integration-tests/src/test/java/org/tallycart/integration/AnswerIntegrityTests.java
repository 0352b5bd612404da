package org.tallycart.integration;

import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.tallycart.load.LoadTestReport;
import org.tallycart.standin.FaultProxy;
import org.tallycart.testbed.Await;
import org.tallycart.testbed.FleetDefinition;
import org.tallycart.testbed.ProcessHttp;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests that each caller receives its own complete response despite faults of upstreams
 * and of the network.
 */
public class AnswerIntegrityTests extends AbstractFleetTests {

	private static final String NO_FAULT = "{\"truncate_percent\":0,\"foreign_percent\":0,\"fail_percent\":0,\"slow_factor\":1,\"unframed_percent\":0,\"broken_percent\":0}";

	@Override
	FleetDefinition definition() {
		return FleetDefinition.bogota(2).withUpstreamProxies();
	}

	@AfterMethod
	void clearFaults() {
		fleet().setUpstreamFault((id) -> true, NO_FAULT);
	}

	@DataProvider
	Object[][] faults() {
		return new Object[][] { { "generate", "{\"truncate_percent\":30}", 0.6 },
				{ "encode", "{\"foreign_percent\":20}", 0.6 }, { "generate", "{\"foreign_percent\":20}", 0.6 },
				{ "generate", "{\"unframed_percent\":60,\"broken_percent\":30}", 0.6 },
				{ "encode", "{\"unframed_percent\":60,\"broken_percent\":30}", 0.6 },
				{ "rerank", "{\"fail_percent\":20}", 0.6 }, { "retrieve-1", "{\"slow_factor\":40}", 0.9 } };
	}

	@Test(dataProvider = "faults")
	void noResponseIsTruncatedOrMisdelivered(String prefix, String fault, double minCompleteRatio) {
		fleet().setUpstreamFault((id) -> id.startsWith(prefix), fault);
		LoadTestReport report = BackgroundLoad
			.start(fleet(), 30, 3_000, BackgroundLoad.questions(), BackgroundLoad.unaryQuestions())
			.await();
		assertEquals(report.violations(), List.of());
		assertEquals(report.countByOutcome("NONE"), 0, report.toText());
		assertTrue(report.countByOutcome("COMPLETE") >= minCompleteRatio * report.requestCount(), report.toText());
	}

	@Test
	void streamsOfClosedConnectionsAreResumedWithoutLossOrDuplicates() {
		BackgroundLoad load = BackgroundLoad.start(fleet(), 30, 4_000, BackgroundLoad.questions());
		for (int i = 0; i < 12; i++) {
			Await.sleep(250);
			fleet().proxy("generate-" + (1 + i % 8)).closeConnections();
		}
		LoadTestReport report = load.await();
		assertEquals(report.violations(), List.of());
		assertTrue(report.countByOutcome("COMPLETE") >= 0.8 * report.requestCount(), report.toText());
		assertTrue(countEvents("STREAM_RESUMED") > 0, "no stream was resumed at another upstream");
	}

	@Test
	void unresponsiveUpstreamFailsFewRequests() {
		FaultProxy proxy = fleet().proxy("encode-2");
		proxy.towardsCaller().setDropping(true);
		LoadTestReport report = BackgroundLoad.start(fleet(), 30, 4_000, BackgroundLoad.unaryQuestions()).await();
		proxy.towardsCaller().setDropping(false);
		proxy.closeConnections();
		assertEquals(report.violations(), List.of());
		assertTrue(report.countByOutcome("COMPLETE") >= 0.9 * report.requestCount(), report.toText());
	}

	private long countEvents(String name) {
		long count = 0;
		for (int i = 0; i < fleet().size(); i++) {
			for (JsonNode event : ProcessHttp.get(fleet().vm(i).entry().address("status"), "/events")) {
				count += event.path("name").asText().equals(name) ? 1 : 0;
			}
		}
		return count;
	}

}
