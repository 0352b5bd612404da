import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;

/**
 * Stand-in of a worker that runs pieces of stages: one call at a time, results kept until
 * they are freed. A faulty one may send a complete answer a second time, late.
 */
final class PoolWorker implements AutoCloseable {

	/** The piece that made a result, by handle, of all workers of the run. */
	static final Map<String, String> MADE = new ConcurrentHashMap<>();

	private static final AtomicLong LAST_HANDLE = new AtomicLong(0x91bd3f00L);

	final String id;

	final Http.Server server;

	private final long callMs;

	private final double itemMs;

	private final Semaphore slot = new Semaphore(1, true);

	private final BooleanSupplier repeatsAnswer;

	private final BiConsumer<String, List<String>> onPiece;

	private final Record record;

	private final Map<Socket, byte[]> extraAnswers = new ConcurrentHashMap<>();

	PoolWorker(String id, String ip, long callMs, double itemMs, BooleanSupplier repeatsAnswer,
			BiConsumer<String, List<String>> onPiece, Record record) throws IOException {
		this.id = id;
		this.callMs = callMs;
		this.itemMs = itemMs;
		this.repeatsAnswer = repeatsAnswer;
		this.onPiece = onPiece;
		this.record = record;
		this.server = new Http.Server(ip, 0, this::handle);
	}

	Map<String, Object> entry(String service, String zone) {
		return entry(service, zone, this.server.address(), 1);
	}

	static Map<String, Object> entry(String service, String zone, String address, int slots) {
		Map<String, Object> entry = new LinkedHashMap<>();
		entry.put("service", service);
		entry.put("address", address);
		entry.put("zone", zone);
		entry.put("version", "v1");
		entry.put("slots", slots);
		entry.put("state", "ready");
		entry.put("cold_left_ms", 0);
		entry.put("seq", 1);
		return entry;
	}

	// Workers echo the id of the request that they answer.
	private static String echo(Http.Message request) {
		String id = request.field("X-Tallycart-Request-Id");
		return id.isEmpty() ? "" : "X-Tallycart-Request-Id: " + id + "\r\n";
	}

	private boolean handle(Http.Message request, Socket socket) throws Exception {
		String expected = request.field("X-Tallycart-Expect-Instance");
		if (!expected.isEmpty() && !expected.equals(this.id)) {
			Http.respond(socket, 421, echo(request) + "X-Tallycart-Instance-Id: " + this.id + "\r\n", new byte[0]);
			return true;
		}
		if (!request.target().equals("/v1/stage-run")) {
			Http.respond(socket, 200, echo(request) + "X-Tallycart-Instance-Id: " + this.id + "\r\n", new byte[0]);
			return true;
		}
		byte[] extra = this.extraAnswers.remove(socket);
		if (extra != null) {
			this.record.line(this.id + " sends its answer to the call before once more");
			Http.write(socket, "", extra);
		}
		List<?> items = (List<?>) ((Map<?, ?>) Json.parse(new String(request.body, StandardCharsets.UTF_8))).get("items");
		List<Object> outcomes = new ArrayList<>();
		this.slot.acquire();
		try {
			for (Object each : items) {
				Map<?, ?> item = (Map<?, ?>) each;
				String piece = item.get("id") + " stage " + item.get("stage") + " piece " + item.get("piece");
				List<String> inputs = new ArrayList<>();
				if (item.get("inputs") != null) {
					((List<?>) item.get("inputs")).forEach((input) -> inputs.add((String) input));
				}
				this.onPiece.accept(piece, inputs);
			}
			Thread.sleep(this.callMs + Math.round(this.itemMs * items.size()));
			for (Object each : items) {
				Map<?, ?> item = (Map<?, ?>) each;
				String handle = this.server.address() + "/" + Long.toHexString(LAST_HANDLE.incrementAndGet());
				MADE.put(handle, item.get("id") + " stage " + item.get("stage") + " piece " + item.get("piece"));
				Map<String, Object> outcome = new LinkedHashMap<>();
				outcome.put("handle", handle);
				outcomes.add(outcome);
			}
		}
		finally {
			this.slot.release();
		}
		byte[] body = Json.write(Map.of("items", outcomes)).getBytes(StandardCharsets.UTF_8);
		String head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nKeep-Alive: timeout=5\r\nX-Tallycart-Server-Load: 0,0,1\r\n"
				+ echo(request) + "Content-Length: " + body.length + "\r\n\r\n";
		Http.write(socket, head, body);
		if (this.repeatsAnswer.getAsBoolean()) {
			byte[] start = head.getBytes(StandardCharsets.ISO_8859_1);
			byte[] whole = new byte[start.length + body.length];
			System.arraycopy(start, 0, whole, 0, start.length);
			System.arraycopy(body, 0, whole, start.length, body.length);
			this.extraAnswers.put(socket, whole);
		}
		return true;
	}

	@Override
	public void close() throws IOException {
		this.server.close();
	}

}
