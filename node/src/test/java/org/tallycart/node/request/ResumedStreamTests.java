package org.tallycart.node.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;

import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.tallycart.core.stream.StreamOrigin;
import org.tallycart.core.stream.StreamOriginRegistry.LookupSource;
import org.tallycart.http.event.Responder;
import org.tallycart.node.stream.KnownStreamOrigins;
import org.tallycart.platform.store.ConfigDecoder;
import org.tallycart.platform.store.StoredObject;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests for streams that their callers resume, while it is looked up where they began, in
 * virtual time.
 */
public class ResumedStreamTests {

	private static final String CONFIG = """
			{"version":1,
			 "routes":[{"name":"stream","host":"h","path_prefix":"/","kind":"streaming","timeout_ms":9000,
			  "slo_ms":3000,"priority":1,"service":"engine","max_attempts":2,"resumable":true,"public":true}],
			 "services":[{"name":"engine","engine":{"slots":8}}],
			 "limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,
			  "idle_timeout_ms":15000},
			 "tenants":[{"name":"w","api_keys":["key"]}]}
			""";

	/** Deadline of the callers, in milliseconds. */
	private static final long DEADLINE_MS = 2_000;

	private static final Optional<StreamOrigin> ORIGIN = Optional.of(new StreamOrigin("engine", "v1"));

	private final Origins origins = new Origins();

	private final RecordingResponder responder = new RecordingResponder();

	private TestServingContext vm = new TestServingContext(this.origins);

	@BeforeMethod
	void begin() {
		this.vm.close();
		this.vm = new TestServingContext(this.origins);
		this.vm.config()
			.offer(ConfigDecoder.decode(StoredObject.parse(ConfigDecoder.NAME, 1, CONFIG).get().spec()).get());
		this.origins.consumers.clear();
		this.responder.clear();
	}

	@AfterMethod
	void end() {
		this.vm.close();
	}

	private void resume() {
		HttpRequest head = new BasicHttpRequest("GET", "/x");
		head.addHeader("Host", "h");
		head.addHeader("Api-Key", "key");
		head.addHeader("X-Tallycart-Request-Id", "again");
		head.addHeader("X-Tallycart-Deadline-Ms", String.valueOf(DEADLINE_MS));
		head.addHeader("Resumes", "begun");
		head.addHeader("Last-Event-Id", "2");
		new CallerHandler(this.vm.context(), this.vm.config()).onRequest(head, new byte[0], this.responder);
		assertEquals(this.origins.consumers.size(), 1);
	}

	private void answerLookup(Optional<StreamOrigin> origin) {
		this.origins.consumers.get(0).accept(origin, LookupSource.OTHER_VM);
	}

	private void assertNotRun() {
		assertEquals(this.responder.statuses, List.of(503));
		assertTrue(this.responder.retryAfter, "the response has a Retry-After");
	}

	// Guards against a caller that waits for ever, since nobody answers where its stream
	// began.
	@Test
	void aStreamWhoseLookupIsNotAnsweredIsRefusedByItsDeadline() {
		resume();
		this.vm.run(DEADLINE_MS / 2);
		assertEquals(this.responder.statuses, List.of());
		this.vm.run(DEADLINE_MS / 2);
		assertNotRun();
		answerLookup(ORIGIN);
		this.vm.run(DEADLINE_MS);
		assertNotRun();
	}

	// Guards against a stream that a stopping VM ends without an answer, since it was not
	// known to be in flight.
	@Test
	void aStoppingVmRefusesAStreamWhoseLookupIsNotAnswered() {
		resume();
		this.vm.inFlight().stop();
		assertNotRun();
		answerLookup(ORIGIN);
		assertNotRun();
	}

	@Test
	void aVmThatIsAboutToStopRefusesAStreamWhoseLookupIsNotAnswered() {
		resume();
		this.vm.inFlight().refuseNotSent();
		assertNotRun();
	}

	// Guards against a stream that hears nothing until its deadline, since an error ended
	// its lookup.
	@Test
	void aStreamIsAnsweredIfItCannotBeStartedAfterItsLookup() {
		resume();
		this.responder.failing = true;
		try {
			answerLookup(ORIGIN);
		}
		catch (IllegalStateException ex) {
			this.vm.errors().add("thrown: " + ex.getMessage());
		}
		assertNotRun();
		assertEquals(this.vm.errors().size(), 1, this.vm.errors().toString());
		assertTrue(this.vm.errors().get(0).contains("the responder fails"), this.vm.errors().toString());
	}

	// Guards against a caller that hears nothing, since its refusal could not be written.
	@Test
	void aCallerWhoseRefusalFailsIsDisconnected() {
		resume();
		this.responder.sendFailing = true;
		answerLookup(Optional.empty());
		assertEquals(this.responder.statuses, List.of(RecordingResponder.ABORTED));
		assertEquals(this.vm.errors().size(), 1, this.vm.errors().toString());
	}

	@Test
	void aStreamOfAnUnknownVersionIsRefused() {
		resume();
		answerLookup(Optional.empty());
		assertNotRun();
		assertEquals(this.responder.handlers, 1, "no flow is started");
	}

	@Test
	void aStreamWhoseOriginIsKnownGoesOn() {
		resume();
		answerLookup(ORIGIN);
		assertEquals(this.responder.handlers, 2, "the flow is started");
		// There is no upstream at all.
		assertNotRun();
		this.vm.run(2 * DEADLINE_MS);
		assertNotRun();
		assertEquals(this.vm.errors(), List.of());
	}

	@Test
	void aCallerThatHasLeftGetsNoAnswer() {
		resume();
		this.responder.disconnect();
		answerLookup(ORIGIN);
		this.vm.inFlight().stop();
		this.vm.run(2 * DEADLINE_MS);
		assertEquals(this.responder.statuses, List.of());
	}

	/** Answers lookups when a test says so. */
	private static final class Origins implements KnownStreamOrigins {

		private final List<BiConsumer<Optional<StreamOrigin>, LookupSource>> consumers = new ArrayList<>();

		@Override
		public void onBegun(String id, StreamOrigin origin, long maxMs) {
			// Not used by these tests.
		}

		@Override
		public void find(Optional<String> id, String service,
				BiConsumer<Optional<StreamOrigin>, LookupSource> consumer) {
			this.consumers.add(consumer);
		}

	}

	/** Records the statuses that the caller gets. */
	private static final class RecordingResponder implements Responder {

		private static final int ABORTED = 0;

		private final List<Integer> statuses = new ArrayList<>();

		/** Number of objects that have handled the request. */
		private int handlers;

		private boolean retryAfter;

		private boolean failing;

		private boolean sendFailing;

		private Runnable disconnectAction = () -> {
		};

		private void clear() {
			this.statuses.clear();
			this.handlers = 0;
			this.retryAfter = false;
			this.failing = false;
			this.sendFailing = false;
		}

		private void disconnect() {
			this.disconnectAction.run();
		}

		@Override
		public void send(HttpResponse head, byte[] body) {
			if (this.sendFailing) {
				throw new IllegalStateException("the responder fails");
			}
			this.statuses.add(head.getCode());
			this.retryAfter = head.containsHeader("Retry-After");
		}

		@Override
		public void begin(HttpResponse head) {
			this.statuses.add(head.getCode());
		}

		@Override
		public void beginUntilClose(HttpResponse head) {
			begin(head);
		}

		@Override
		public void write(byte[] part) {
			// Only statuses are recorded.
		}

		@Override
		public void end() {
			// Only statuses are recorded.
		}

		@Override
		public void abort() {
			this.statuses.add(ABORTED);
		}

		@Override
		public void onCallerDisconnected(Runnable action) {
			if (this.failing) {
				throw new IllegalStateException("the responder fails");
			}
			this.handlers++;
			this.disconnectAction = action;
		}

		@Override
		public void onHandlingFailed(Runnable action) {
			// Called by connections only.
		}

		@Override
		public void onBackpressure(BackpressureListener listener) {
			// Not used by these tests.
		}

	}

}
