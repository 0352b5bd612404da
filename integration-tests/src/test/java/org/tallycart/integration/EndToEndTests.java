package org.tallycart.integration;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.uuid.Generators;
import org.tallycart.core.ini.Address;
import org.tallycart.load.CallerClient;
import org.tallycart.load.ReceivedResponse;
import org.tallycart.load.Submission;
import org.tallycart.testbed.Await;
import org.tallycart.testbed.FleetDefinition;
import org.tallycart.testbed.ProcessHttp;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * End-to-end tests of requests through entries and stewards that run as processes.
 */
public class EndToEndTests extends AbstractFleetTests {

	private static final int REQUESTS = 200;

	@Override
	FleetDefinition definition() {
		return FleetDefinition.bogota(3);
	}

	private static Submission request(int number) {
		String marker = "mixed" + number;
		return switch (number % 4) {
			case 0 -> Submission.builder("dispatch", "suba-express", marker)
				.idempotencyKey(Generators.timeBasedEpochGenerator().generate().toString())
				.build();
			case 1 -> Submission.builder("assistant", "chapinero-norte", marker).maxTokens(1 + number % 9).build();
			default -> Submission.builder("assistant", "fontibon-plaza", marker)
				.maxTokens(1 + number % 17)
				.stream(true)
				.build();
		};
	}

	@Test
	void eachConcurrentRequestGetsItsOwnCompleteResponse() throws InterruptedException, ExecutionException {
		ExecutorService callers = Executors.newFixedThreadPool(REQUESTS);
		List<Address> entries = fleet().entryAddresses();
		List<Future<ReceivedResponse>> responses = new ArrayList<>();
		for (int i = 0; i < REQUESTS; i++) {
			int number = i;
			responses
				.add(callers.submit(() -> CallerClient.submit(entries.get(number % entries.size()), request(number))));
		}
		for (Future<ReceivedResponse> future : responses) {
			ReceivedResponse response = future.get();
			assertTrue(response.isComplete(), response.toString());
		}
		callers.shutdown();
		assertTrue(callers.awaitTermination(10, TimeUnit.SECONDS));
	}

	@Test(priority = 1)
	void entryKeepsServingWithoutItsSteward() throws IOException {
		fleet().vm(2).steward().kill();
		Address entry = fleet().vm(2).entry().address("callers");
		ReceivedResponse response = CallerClient.submit(entry,
				Submission.builder("assistant", "kennedy-central", "alone").build());
		assertTrue(response.isComplete(), response.toString());
		fleet().restartSteward(2);
		Await.until("the restarted steward owns slots", 20_000,
				() -> ProcessHttp.get(fleet().vm(2).steward().address("status"), "/status")
					.path("open_slots")
					.asInt() > 0);
	}

	@DataProvider
	Object[][] invalidRequests() {
		return new Object[][] { { Submission.builder("nothing", "suba-express", "a").build(), "NOT_DECLARED" },
				{ Submission.builder("assistant", "nobody", "a").build(), "NOT_DECLARED" },
				{ Submission.builder("assistant", "suba-express", "a").maxTokens(-1).build(), "BAD_REQUEST" },
				{ Submission.builder("dispatch", "suba-express", "a").idempotencyKey("not-a-key").build(),
						"BAD_REQUEST" } };
	}

	@Test(dataProvider = "invalidRequests")
	void invalidRequestIsNotRunAndGetsAReason(Submission submission, String reason) {
		ReceivedResponse response = CallerClient.submit(fleet().entryAddresses().get(0), submission);
		assertEquals(response.outcome(), "NOT_RUN");
		assertEquals(response.reason(), reason);
	}

	@Test
	void timelineContainsEachStageOfARequest() {
		ReceivedResponse response = CallerClient.submit(fleet().entryAddresses().get(1),
				Submission.builder("assistant", "kennedy-central", "traced").build());
		JsonNode events = ProcessHttp.get(fleet().vm(1).entry().address("status"),
				"/events?request=" + response.requestId());
		List<String> names = new ArrayList<>();
		events.forEach((event) -> names.add(event.path("name").asText()));
		assertEquals(names.get(0), "REQUEST_ARRIVED");
		assertEquals(names.get(names.size() - 1), "REQUEST_ENDED");
		assertEquals(names.stream().filter("ATTEMPT_ENDED"::equals).count(), 4);
	}

	@Test
	void timelineOfAConfirmationOrdersEventsOfEntryAndSlotOwner() {
		ReceivedResponse response = CallerClient.submit(fleet().entryAddresses().get(0), request(0));
		assertTrue(response.isComplete(), response.toString());
		List<JsonNode> events = new ArrayList<>();
		for (String port : fleet().statusAddresses().split(",")) {
			ProcessHttp.get(Address.parse(port).get(), "/events?request=" + response.requestId()).forEach(events::add);
		}
		events.sort(Comparator.comparingLong((JsonNode event) -> event.path("ms").asLong())
			.thenComparingInt((event) -> event.path("logical").asInt()));
		List<String> names = events.stream().map((event) -> event.path("name").asText()).toList();
		int claimAnswered = names.indexOf("CLAIM_ANSWERED");
		assertTrue(claimAnswered > names.indexOf("REQUEST_ARRIVED"), names.toString());
		assertTrue(claimAnswered < names.indexOf("KEY_CLAIMED"), names.toString());
	}

}
