import java.io.*;
import java.net.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.atomic.*;

/** Case: SIGTERM while clients read long answers at a moderate pace. */
final class SlowReadAtStop {

	private static final int CLIENTS = 6;

	private static final int ANSWER_BYTES = 4_100_000;

	private static final int BYTES_PER_S = 1_000_000;

	private static final long WORK_MS = 3_000;

	private static final long TERM_AFTER_MS = 1_000;

	private static final long GRACE_MS = 8_000;

	public static void main(String[] args) throws Exception {
		Path root = Path.of(args[0]);
		Path dir = Path.of(args[1]);
		Record.open(Path.of(args[2]));
		boolean trouble = !args[3].equals("0");
		int code = 2;
		try {
			code = run(root, dir, trouble);
		}
		catch (Exception | AssertionError ex) {
			Record.line("the case could not run: " + ex);
		}
		finally {
			Node.endAll();
		}
		Record.line("exit " + code);
		System.exit(code);
	}

	private static int run(Path root, Path dir, boolean trouble) throws Exception {
		String ip = Node.loopback();
		Store store = new Store(ip);
		Worker worker = new Worker("i-1", ip, (request) -> {
			boolean small = request.target().endsWith("/small");
			Wire.sleep(small ? 5 : WORK_MS);
			return Arrays.copyOf(Worker.PATTERN, small ? 800 : ANSWER_BYTES);
		});
		worker.register(store, "despacho", "usaquen", 20);
		store.put("config", "main", "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"a.example\",\"path_prefix\":\"/p/\","
				+ "\"kind\":\"non_idempotent\",\"timeout_ms\":20000,\"slo_ms\":5000,\"priority\":1,\"service\":\"despacho\","
				+ "\"max_attempts\":1,\"stages\":[],\"public\":true,\"sticky\":false,\"resumable\":false,\"gap_slo_ms\":0}],"
				+ "\"services\":[{\"name\":\"despacho\",\"health_path\":\"/healthz\",\"max_conns\":96,\"protocol\":\"h1\",\"tls\":false}],"
				+ "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
				+ "\"tenants\":[]}");
		Node node = Node.start("front-usaquen-1", "usaquen", ip, store, root, dir);
		node.awaitReady();
		Wire.sleep(3_500);
		List<Thread> threads = new ArrayList<>();
		AtomicInteger cut = new AtomicInteger();
		AtomicInteger whole = new AtomicInteger();
		AtomicInteger unable = new AtomicInteger();
		AtomicLong termMs = new AtomicLong(Long.MAX_VALUE);
		for (int i = 1; i <= CLIENTS; i++) {
			String id = "c" + i;
			threads.add(Wire.daemon(() -> client(node, id, termMs, whole, cut, unable)));
		}
		Wire.sleep(300 + TERM_AFTER_MS);
		if (trouble) {
			termMs.set(Record.nowMs());
			node.signal("TERM");
			Wire.daemon(() -> {
				try {
					int status = node.process.waitFor();
					Record.line("the node ended with " + status + ", " + (Record.nowMs() - termMs.get()) + " ms after SIGTERM");
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			});
		}
		for (Thread thread : threads) {
			thread.join(25_000);
		}
		Record.line("whole answers " + whole + ", cut off " + cut + ", of " + CLIENTS + "; the worker ran "
				+ worker.runs.size() + " and answered " + worker.answered + " in full to the system");
		Record.line("node is " + (node.process.isAlive() ? "alive" : "ended with " + node.process.exitValue()));
		if (unable.get() > 0 || whole.get() + cut.get() != CLIENTS) {
			return 2;
		}
		return (cut.get() > 0) ? 1 : 0;
	}

	private static void client(Node node, String id, AtomicLong termMs, AtomicInteger whole, AtomicInteger cut,
			AtomicInteger unable) {
		int got = -1;
		boolean sent = false;
		try (Socket socket = new Socket()) {
			socket.setReceiveBufferSize(8 << 10);
			socket.connect(new InetSocketAddress(node.ip, node.front), 1_000);
			socket.setSoTimeout(15_000);
			InputStream in = socket.getInputStream();
			ask(socket, id + "-small", "/p/small");
			Wire.Message small = Wire.message(in);
			if (small == null || small.status() != 200) {
				unable.incrementAndGet();
				return;
			}
			Wire.sleep(200);
			long sentMs = Record.nowMs();
			ask(socket, id, "/p/long");
			sent = true;
			Record.line(id + " sent on its kept connection, deadline 15000 ms");
			Wire.Message head = Wire.head(in);
			if (head == null) {
				Record.line(id + " the connection was closed without an answer after " + (Record.nowMs() - sentMs) + " ms");
				cut.incrementAndGet();
				return;
			}
			int length = Integer.parseInt(head.field("Content-Length"));
			Record.line(id + " got the head after " + (Record.nowMs() - sentMs) + " ms: " + head.first + ", length " + length);
			got = 0;
			byte[] part = new byte[20_000];
			long begunMs = Record.nowMs();
			while (got < length) {
				int count = in.read(part, 0, Math.min(part.length, length - got));
				if (count < 0) {
					throw new EOFException("end of the connection");
				}
				got += count;
				long dueMs = begunMs + got * 1000L / BYTES_PER_S;
				Wire.sleep(Math.max(dueMs - Record.nowMs(), 0));
			}
			whole.incrementAndGet();
			Record.line(id + " read the whole answer, " + got + " bytes, " + (Record.nowMs() - sentMs) + " ms after the request");
		}
		catch (IOException ex) {
			long sinceTerm = Record.nowMs() - termMs.get();
			Record.line(id + " broken off after " + got + " of " + ANSWER_BYTES + " bytes, " + sinceTerm
					+ " ms after SIGTERM (grace " + GRACE_MS + " ms): " + ex);
			// The rule holds until 1 s after the grace, and not once the deadline is over.
			boolean counts = sent && sinceTerm <= GRACE_MS + 1_000 && !(ex instanceof SocketTimeoutException);
			(counts ? cut : unable).incrementAndGet();
		}
	}

	private static void ask(Socket socket, String id, String path) throws IOException {
		Map<String, String> fields = new LinkedHashMap<>();
		fields.put("Host", "a.example");
		fields.put("X-Tallycart-Request-Id", id);
		fields.put("X-Tallycart-Deadline-Ms", "15000");
		Wire.write(socket.getOutputStream(), "POST " + path + " HTTP/1.1", fields, "{}".getBytes());
	}

}
