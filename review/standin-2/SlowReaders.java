import java.io.*;
import java.net.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.atomic.*;

/** Many clients read long answers slowly, while workers and everything else are sound. */
final class SlowReaders {

	private static final int CLIENTS = 56;

	private static final int ANSWER_BYTES = 4_100_000;

	private static final int SLOW_BYTES_PER_S = 200_000;

	private static final int DEADLINE_MS = 28_000;

	private static final int TIMEOUT_MS = 30_000;

	/** More than three break the rule. */
	private static final int ALLOWED = 3;

	private static final AtomicInteger WHOLE = new AtomicInteger();

	private static final AtomicInteger CLOSED = new AtomicInteger();

	private static final AtomicInteger UNANSWERED = new AtomicInteger();

	private static final AtomicInteger FAILED = new AtomicInteger();

	private static final AtomicInteger UNREAD = new AtomicInteger();

	private static final Set<String> SERVED = Collections.synchronizedSet(new HashSet<>());

	public static void main(String[] args) throws Exception {
		Record.open(Path.of(args[2]));
		int code = 2;
		try {
			code = run(Path.of(args[0]), Path.of(args[1]), !args[3].equals("0"));
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
		for (int i = 1; i <= 4; i++) {
			Worker worker = new Worker("i-" + i, ip, (request) -> {
				boolean small = request.target().endsWith("/small");
				Wire.sleep(small ? 5 : 100);
				return Arrays.copyOf(Worker.PATTERN, small ? 800 : ANSWER_BYTES);
			});
			worker.onAnswered((id) -> SERVED.add(id));
			worker.register(store, "despacho", "usaquen", 6);
		}
		store.put("config", "main", "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"a.example\",\"path_prefix\":\"/p/\","
				+ "\"kind\":\"non_idempotent\",\"timeout_ms\":" + TIMEOUT_MS + ",\"slo_ms\":5000,\"priority\":1,"
				+ "\"service\":\"despacho\",\"max_attempts\":1,\"stages\":[],\"public\":true,\"sticky\":false,"
				+ "\"resumable\":false,\"gap_slo_ms\":0}],\"services\":[{\"name\":\"despacho\",\"health_path\":\"/healthz\","
				+ "\"max_conns\":96,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,"
				+ "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[]}");
		Node node = Node.start("front-usaquen-1", "usaquen", ip, store, root, dir);
		node.awaitReady();
		Wire.sleep(3_500);
		List<Thread> threads = new ArrayList<>();
		for (int i = 1; i <= CLIENTS; i++) {
			String id = "c" + i;
			threads.add(Wire.daemon(() -> client(node, id, trouble)));
			Wire.sleep(60);
		}
		for (Thread thread : threads) {
			thread.join(DEADLINE_MS + 10_000);
		}
		boolean alive = node.process.isAlive();
		Record.line("of " + CLIENTS + " requests: whole answers " + WHOLE + "; closed without an answer by the node although the "
				+ "worker had answered in full, before the deadline " + CLOSED + "; no answer until the deadline " + UNANSWERED
				+ "; own 5xx " + FAILED + "; connections that were closed unread " + UNREAD);
		Record.line("node is " + (alive ? "alive" : "ended") + ", its memory at its peak " + node.peakMb() + " MB");
		if (!alive || CLOSED.get() > ALLOWED) {
			return 1;
		}
		return (WHOLE.get() + CLOSED.get() + UNANSWERED.get() + FAILED.get() + UNREAD.get() == CLIENTS) ? 0 : 2;
	}

	private static void client(Node node, String id, boolean slow) {
		long sentMs = 0;
		int got = -1;
		boolean sent = false;
		try (Socket socket = new Socket()) {
			socket.setReceiveBufferSize(8 << 10);
			socket.connect(new InetSocketAddress(node.ip, node.front), 1_000);
			socket.setSoTimeout(DEADLINE_MS);
			InputStream in = socket.getInputStream();
			ask(socket, id + "-small", "/p/small");
			Wire.Message small = Wire.message(in);
			if (small == null || small.status() != 200) {
				UNREAD.incrementAndGet();
				Record.line(id + " its first connection got " + ((small != null) ? small.first : "closed"));
				return;
			}
			sentMs = Record.nowMs();
			ask(socket, id, "/p/long");
			sent = true;
			Wire.Message head = Wire.head(in);
			long afterMs = Record.nowMs() - sentMs;
			if (head == null) {
				onClosed(id, afterMs);
				return;
			}
			if (head.status() != 200) {
				FAILED.incrementAndGet();
				Record.line(id + " " + head.first + " after " + afterMs + " ms");
				return;
			}
			int length = Integer.parseInt(head.field("Content-Length"));
			byte[] part = new byte[10_000];
			long begunMs = Record.nowMs();
			got = 0;
			while (got < length) {
				int count = in.read(part, 0, Math.min(part.length, length - got));
				if (count < 0) {
					throw new EOFException("end of the connection");
				}
				got += count;
				if (slow) {
					Wire.sleep(Math.max(begunMs + got * 1000L / SLOW_BYTES_PER_S - Record.nowMs(), 0));
				}
			}
			WHOLE.incrementAndGet();
			Record.line(id + " read its whole answer, " + got + " bytes, " + (Record.nowMs() - sentMs) + " ms after the request");
		}
		catch (SocketTimeoutException ex) {
			UNANSWERED.incrementAndGet();
			Record.line(id + " has no answer at its deadline, " + got + " bytes");
		}
		catch (IOException ex) {
			if (sent) {
				onClosed(id, Record.nowMs() - sentMs);
			}
			else {
				UNREAD.incrementAndGet();
				Record.line(id + " its connection was closed before it sent the request: " + ex);
			}
		}
	}

	private static void onClosed(String id, long afterMs) {
		boolean served = SERVED.contains(id);
		if (served && afterMs < DEADLINE_MS) {
			CLOSED.incrementAndGet();
		}
		else {
			UNREAD.incrementAndGet();
		}
		Record.line(id + " sent on its kept connection (deadline " + DEADLINE_MS + " ms, timeout " + TIMEOUT_MS + " ms): closed without "
				+ "an answer after " + afterMs + " ms; the worker has " + (served ? "run it and answered 200 in full" : "not answered it"));
	}

	private static void ask(Socket socket, String id, String path) throws IOException {
		Map<String, String> fields = new LinkedHashMap<>();
		fields.put("Host", "a.example");
		fields.put("X-Tallycart-Request-Id", id);
		fields.put("X-Tallycart-Deadline-Ms", String.valueOf(DEADLINE_MS));
		Wire.write(socket.getOutputStream(), "POST " + path + " HTTP/1.1", fields, "{}".getBytes());
	}

}
