import java.io.*;
import java.net.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** A worker by PROTOCOL.md that works for a time and answers with a body of a size. Always sound. */
final class Worker {

	static final byte[] PATTERN = pattern();

	final String id;

	final String address;

	final List<String> runs = new CopyOnWriteArrayList<>();

	final AtomicInteger answered = new AtomicInteger();

	private final Behaviour behaviour;

	private java.util.function.Consumer<String> onAnswered = (id) -> {
	};

	Worker(String id, String host, Behaviour behaviour) throws IOException {
		this.id = id;
		this.behaviour = behaviour;
		ServerSocket server = Wire.listen(host, 0, this::serve);
		this.address = host + ":" + server.getLocalPort();
	}

	/** Called with the id of each request whose answer was written whole. */
	void onAnswered(java.util.function.Consumer<String> listener) {
		this.onAnswered = listener;
	}

	private static byte[] pattern() {
		byte[] bytes = new byte[4 << 20];
		new Random(7).nextBytes(bytes);
		return bytes;
	}

	void register(Store store, String service, String zone, int slots) throws IOException {
		store.put("servers", this.id, "{\"service\":\"" + service + "\",\"address\":\"" + this.address + "\",\"zone\":\"" + zone
				+ "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1}");
	}

	private void serve(Socket socket) throws IOException {
		InputStream in = new BufferedInputStream(socket.getInputStream());
		while (true) {
			Wire.Message request = Wire.head(in);
			if (request == null) {
				return;
			}
			request.body = Wire.body(in, request);
			String expected = request.field("X-Tallycart-Expect-Instance");
			Map<String, String> fields = new LinkedHashMap<>();
			fields.put("X-Tallycart-Request-Id", request.field("X-Tallycart-Request-Id"));
			fields.put("X-Tallycart-Instance-Id", this.id);
			fields.put("Keep-Alive", "timeout=60");
			if (!expected.isEmpty() && !expected.equals(this.id)) {
				Wire.write(socket.getOutputStream(), "HTTP/1.1 421 Misdirected Request", fields, new byte[0]);
				continue;
			}
			this.runs.add(request.field("X-Tallycart-Request-Id"));
			byte[] body = this.behaviour.run(request);
			fields.put("X-Tallycart-Response-Stamp", "3e1b." + request.field("X-Tallycart-Request-Id"));
			Wire.write(socket.getOutputStream(), "HTTP/1.1 200 OK", fields, body);
			this.answered.incrementAndGet();
			this.onAnswered.accept(request.field("X-Tallycart-Request-Id"));
		}
	}

	interface Behaviour {

		byte[] run(Wire.Message request) throws IOException;

	}

}
