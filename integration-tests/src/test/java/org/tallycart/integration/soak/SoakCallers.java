package org.tallycart.integration.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import org.tallycart.core.ini.Address;

/**
 * Callers that send requests of all kinds to all VMs over persistent connections, check
 * each response, and resume broken streams at any VM.
 * <p>
 * Thread-safe.
 */
final class SoakCallers implements AutoCloseable {

	private static final int CALLERS = 6;

	private static final int MAX_PAUSE_MS = 60;

	private static final String PART_PATH = "/stream/part-";

	private static final int TIMEOUT_MS = 2_000;

	static final int STREAM_TIMEOUT_MS = 5_000;

	private static final int MAX_RESUMPTIONS = 3;

	private static final long PATIENCE_MS = 1_000;

	/** Long enough that only the VM ends a request, even if it read it late. */
	private static final long LONG_PATIENCE_MS = 10_000;

	/** One of this many requests crashes the upstreams that run it. */
	private static final int CRASHING_INTERVAL = 60;

	/**
	 * One of this many requests has a part in its prompt that crashes the upstreams which
	 * begin to answer it.
	 */
	private static final int CRASHING_PART_INTERVAL = 60;

	/** One of this many callers keeps its connection while most new ones go to one VM. */
	private static final int OTHER_VM_INTERVAL = 10;

	/** Statuses that guarantee that the request has not run and will not run. */
	private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

	private static final Set<Integer> FAILURE_STATUSES = Set.of(500, 502, 504);

	private final SoakFleet fleet;

	private final Violations violations;

	private final Map<String, Integer> notRunStatuses = new ConcurrentHashMap<>();

	private final Set<String> nonIdempotentIds = ConcurrentHashMap.newKeySet();

	private final Map<String, ReceivedStream> broken = new ConcurrentHashMap<>();

	private final Map<String, Integer> resumptions = new ConcurrentHashMap<>();

	private final List<UnansweredRequest> unanswered = new CopyOnWriteArrayList<>();

	private final Map<Integer, Integer> statuses = new ConcurrentHashMap<>();

	private final ExecutorService threads = Executors.newCachedThreadPool();

	private final boolean crashing;

	private volatile boolean stopped;

	private SoakCallers(SoakFleet fleet, Violations violations, boolean crashing) {
		this.fleet = fleet;
		this.violations = violations;
		this.crashing = crashing;
	}

	// Creates callers that send no requests of their own.
	static SoakCallers idle(SoakFleet fleet, Violations violations) {
		return new SoakCallers(fleet, violations, false);
	}

	// Creates callers none of whose requests crashes upstreams.
	static SoakCallers sound(SoakFleet fleet, Violations violations, int count) {
		fleet.stopCrashingParts();
		SoakCallers callers = new SoakCallers(fleet, violations, false);
		callers.start(count, 0);
		return callers;
	}

	SoakCallers(SoakFleet fleet, Violations violations, long seed) {
		this(fleet, violations, true);
		start(CALLERS, seed);
	}

	private void start(int count, long seed) {
		for (int i = 0; i < count; i++) {
			String name = "c" + i;
			Random random = new Random(seed * count + i);
			Random partRandom = new Random(~(seed * count + i));
			this.threads.execute(() -> {
				try {
					run(name, random, partRandom);
				}
				catch (RuntimeException ex) {
					this.violations.addException("caller " + name + " was", ex);
				}
			});
		}
	}

	private void run(String name, Random random, Random partRandom) {
		HttpClient keptClient = client();
		for (int i = 0; !this.stopped; i++) {
			SoakNode node = this.fleet.nodes().get(random.nextInt(this.fleet.nodes().size()));
			String kind = List.of("plain", "once", "stream").get(random.nextInt(3));
			boolean crashes = random.nextInt(CRASHING_INTERVAL) == 0 && this.crashing;
			String path = crashes ? "/stream/" + SoakFleet.CRASHING : "/" + kind + "/x";
			if (partRandom.nextInt(CRASHING_PART_INTERVAL) == 0 && this.fleet.isCrashingPartsSent()) {
				path = crashingPartPath(partRandom.nextInt(2), name + "-" + i);
			}
			Optional<SoakNode> mostConnections = this.fleet.mostConnections()
				.filter((favoured) -> partRandom.nextInt(OTHER_VM_INTERVAL) > 0);
			HttpClient client = mostConnections.isPresent() ? client() : keptClient;
			Optional<Integer> status = call(client, mostConnections.orElse(node).callers(), path, name + "-" + i);
			if (status.isEmpty() && path.startsWith("/stream/")) {
				resume(client, path, name + "-" + i, random);
			}
			pause(random.nextInt(MAX_PAUSE_MS));
		}
	}

	/**
	 * Return the path of a request with a part that crashes upstreams, unlike that of any
	 * other request.
	 * @param part the index of the part
	 * @param name distinguishes the request
	 * @return the path
	 */
	static String crashingPartPath(int part, String name) {
		return PART_PATH + SoakFleet.CRASHING_PARTS.get(part) + "-" + name;
	}

	// Resumes a stream of which events were received, at any VM.
	private void resume(HttpClient client, String path, String begunBy, Random random) {
		for (int retry = 1; retry <= MAX_RESUMPTIONS && !this.stopped; retry++) {
			Optional<ReceivedStream> received = Optional.ofNullable(this.broken.get(begunBy));
			if (received.isEmpty() || received.get().isComplete()) {
				return;
			}
			SoakNode node = this.fleet.nodes().get(random.nextInt(this.fleet.nodes().size()));
			pause(random.nextInt(MAX_PAUSE_MS));
			Optional<Integer> status = call(client, node.callers(), path, begunBy + "-again" + retry, received);
			this.resumptions.merge(status.map(String::valueOf).orElse("broken"), 1, Integer::sum);
		}
	}

	/**
	 * Return how resumed streams ended.
	 * @return the counts by status; broken if no complete response was received
	 */
	Map<String, Integer> resumptions() {
		return Map.copyOf(this.resumptions);
	}

	private static HttpClient client() {
		return HttpClient.newBuilder()
			.version(HttpClient.Version.HTTP_1_1)
			.connectTimeout(Duration.ofSeconds(1))
			.build();
	}

	// Returns the status, or empty if no complete response was received.
	private Optional<Integer> call(HttpClient client, Address address, String path, String id) {
		return call(client, address, path, id, Optional.empty());
	}

	private Optional<Integer> call(HttpClient client, Address address, String path, String id,
			Optional<ReceivedStream> resumed) {
		boolean stream = path.startsWith("/stream/");
		long sentMs = UnansweredRequestRules.nowMs();
		int timeoutMs = stream ? STREAM_TIMEOUT_MS : TIMEOUT_MS;
		if (path.startsWith("/once/")) {
			this.nonIdempotentIds.add(id);
		}
		try {
			HttpRequest.Builder request = request(address, path, id, timeoutMs, stream);
			resumed.ifPresent((received) -> request.header("Resumes", received.begunBy())
				.header("Last-Event-Id", String.valueOf(received.eventCount())));
			if (stream) {
				Optional<Integer> status = callStream(client, request.build(), path, id,
						resumed.orElseGet(() -> new ReceivedStream(id)));
				if (status.isEmpty()) {
					recordUnanswered(id, path, address, sentMs, true, "the stream was broken");
				}
				return status;
			}
			HttpResponse<String> response = client.send(request.build(), HttpResponse.BodyHandlers.ofString());
			check(response.statusCode(), response.body().equals("POST " + path + " for " + id), path, id);
			return Optional.of(response.statusCode());
		}
		catch (IOException ex) {
			recordUnanswered(id, path, address, sentMs, false, ex.toString());
			return Optional.empty();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return Optional.empty();
		}
	}

	private void recordUnanswered(String id, String path, Address vm, long sentMs, boolean begun, String cause) {
		this.unanswered.add(new UnansweredRequest(id, path, vm, sentMs, UnansweredRequestRules.nowMs(), begun, cause));
	}

	/**
	 * Return the requests that ended without a complete response.
	 * @return the requests
	 */
	List<UnansweredRequest> unanswered() {
		return List.copyOf(this.unanswered);
	}

	/**
	 * Return the statuses of complete responses.
	 * @return the counts by status
	 */
	Map<Integer, Integer> statuses() {
		return Map.copyOf(this.statuses);
	}

	private Optional<Integer> callStream(HttpClient client, HttpRequest request, String path, String id,
			ReceivedStream received) throws IOException, InterruptedException {
		HttpResponse<InputStream> response = client.send(request, HttpResponse.BodyHandlers.ofInputStream());
		boolean whole = response.statusCode() != 200 || received.read(response.body(), id);
		if (response.statusCode() != 200) {
			response.body().close();
		}
		received.problem().ifPresent((problem) -> this.violations.add(path + " " + id + ": " + problem));
		if (!whole) {
			if (received.eventCount() > 0) {
				this.broken.put(received.begunBy(), received);
			}
			return Optional.empty();
		}
		check(response.statusCode(), received.isComplete(), path, id);
		return Optional.of(response.statusCode());
	}

	private HttpRequest.Builder request(Address address, String path, String id, int timeoutMs, boolean stream) {
		HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + path))
			.timeout(Duration.ofMillis(timeoutMs + (this.crashing ? PATIENCE_MS : LONG_PATIENCE_MS)))
			.header("Api-Key", "key")
			.header("X-Tallycart-Request-Id", id)
			.header("X-Tallycart-Deadline-Ms", Integer.toString(timeoutMs))
			.POST(HttpRequest.BodyPublishers.noBody());
		if (stream) {
			request.header("X-Tallycart-Model", "m")
				.header("X-Tallycart-Token-Counts", "900,40")
				.header("X-Tallycart-Prompt-Prefix", "aa:500," + secondPart(path) + ":200,f" + id.hashCode() + ":30")
				.header("X-Tallycart-Pieces", "2,3")
				.header("X-Tallycart-Piece-Key", "k");
		}
		return request;
	}

	private static String secondPart(String path) {
		return path.startsWith(PART_PATH) ? path.substring(PART_PATH.length()).split("-")[0] : "bb";
	}

	private void check(int status, boolean asExpected, String path, String id) {
		this.statuses.merge(status, 1, Integer::sum);
		if (status == 200 && !asExpected) {
			this.violations.add("misdelivered or incomplete response to " + path + " " + id);
		}
		else if (NOT_RUN_STATUSES.contains(status)) {
			this.notRunStatuses.put(id, status);
		}
		else if (status != 200 && !FAILURE_STATUSES.contains(status)) {
			this.violations.add("status " + status + " for " + path + " " + id);
		}
	}

	/**
	 * Send calls to a VM and return the number of successful responses.
	 * @param node the VM
	 * @param path the path
	 * @param count the number of calls
	 * @param name the prefix of the request IDs
	 * @return the number of successful responses
	 */
	int countServed(SoakNode node, String path, int count, String name) {
		HttpClient client = client();
		int served = 0;
		for (int i = 0; i < count; i++) {
			served += call(client, node.callers(), path, name + i).filter((status) -> status == 200).isPresent() ? 1
					: 0;
		}
		return served;
	}

	/**
	 * Send a call whose response is not checked and return its status.
	 * @param node the VM
	 * @param path the path
	 * @param id the request ID
	 * @return the status, or 0 if no response was received
	 */
	int status(SoakNode node, String path, String id) {
		try {
			return client()
				.send(request(node.callers(), path, id, TIMEOUT_MS, false).build(),
						HttpResponse.BodyHandlers.ofString())
				.statusCode();
		}
		catch (IOException ex) {
			return 0;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return 0;
		}
	}

	/** Check how often each request ran; call after all requests have ended. */
	void checkRuns() {
		this.notRunStatuses.forEach((id, status) -> {
			if (this.fleet.runCount(id) > 0) {
				this.violations.add(id + " got status " + status + " and ran");
			}
		});
		for (String id : this.nonIdempotentIds) {
			if (this.fleet.runCount(id) > 1) {
				this.violations.add(id + " is not idempotent and ran " + this.fleet.runCount(id) + " times");
			}
		}
	}

	static void pause(long ms) {
		try {
			Thread.sleep(ms);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@Override
	public void close() {
		stop();
	}

	/** Stop sending and await outstanding responses. */
	void stop() {
		this.stopped = true;
		this.threads.shutdown();
		try {
			if (!this.threads.awaitTermination(2L * STREAM_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
				this.violations.add("requests have not ended twice their timeout after they were sent");
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
