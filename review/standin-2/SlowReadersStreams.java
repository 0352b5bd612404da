import java.io.*;
import java.net.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.*;

/** Streams beside clients that read long answers slowly, while workers and everything else are sound. */
final class SlowReadersStreams {

	private static final int LONGEST = 36;

	private static final int STREAMS = 60;

	private static final int EVENTS = 100;

	private static final int EVENT_MS = 100;

	private static final int EVENT_BYTES = 300;

	private static final int SLOW_BYTES_PER_S = 120_000;

	private static final int DEADLINE_MS = 40_000;

	private static final AtomicInteger WHOLE = new AtomicInteger();

	private static final AtomicInteger WRONG = new AtomicInteger();

	private static final AtomicInteger BROKEN_OFF = new AtomicInteger();

	private static final AtomicInteger UNABLE = new AtomicInteger();

	private static final AtomicInteger READ = new AtomicInteger();

	private static final AtomicInteger OTHERS = new AtomicInteger();

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
			Worker worker = new Worker("d-" + i, ip, (request) -> {
				Wire.sleep(100);
				return Arrays.copyOf(Worker.PATTERN, Integer.parseInt(request.target().substring("/p/".length())));
			});
			worker.register(store, "despacho", "usaquen", 6);
			String id = "e-" + i;
			ServerSocket engine = Wire.listen(ip, 0, (socket) -> stream(id, socket));
			store.put("servers", id, "{\"service\":\"asistente\",\"address\":\"" + ip + ":" + engine.getLocalPort()
					+ "\",\"zone\":\"usaquen\",\"version\":\"v1\",\"slots\":128,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1}");
		}
		String access = "\"public\":true,\"sticky\":false,\"resumable\":false,";
		store.put("config", "main", "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"a.example\",\"path_prefix\":\"/p/\","
				+ "\"kind\":\"non_idempotent\",\"timeout_ms\":" + DEADLINE_MS + ",\"slo_ms\":5000,\"priority\":1,"
				+ "\"service\":\"despacho\",\"max_attempts\":1,\"stages\":[]," + access + "\"gap_slo_ms\":0},"
				+ "{\"name\":\"s\",\"host\":\"a.example\",\"path_prefix\":\"/s/\",\"kind\":\"streaming\",\"timeout_ms\":" + DEADLINE_MS
				+ ",\"slo_ms\":3600,\"priority\":1,\"service\":\"asistente\",\"max_attempts\":1,\"stages\":[]," + access
				+ "\"gap_slo_ms\":500}],\"services\":[{\"name\":\"despacho\",\"health_path\":\"/healthz\",\"max_conns\":96,"
				+ "\"protocol\":\"h1\",\"tls\":false},{\"name\":\"asistente\",\"health_path\":\"/healthz\",\"max_conns\":610,"
				+ "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
				+ "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[]}");
		Node node = Node.start("front-usaquen-1", "usaquen", ip, store, root, dir);
		node.awaitReady();
		Wire.sleep(3_500);
		List<Thread> threads = new ArrayList<>();
		List<Integer> sizes = sizes();
		CountDownLatch begin = new CountDownLatch(1);
		for (int i = 1; i <= STREAMS; i++) {
			String id = "s" + i;
			threads.add(Wire.daemon(() -> readStream(node, id, begin)));
			Wire.sleep(20);
		}
		for (int i = 0; i < sizes.size(); i++) {
			String id = "c" + i;
			int bytes = sizes.get(i);
			threads.add(Wire.daemon(() -> read(node, id, bytes, trouble)));
			Wire.sleep(40);
		}
		begin.countDown();
		for (Thread thread : threads) {
			thread.join(DEADLINE_MS + 10_000);
		}
		Record.line("of " + STREAMS + " streams: whole " + WHOLE + "; with events missing, before others or before the end of a complete stream " + WRONG
				+ "; broken off or refused " + BROKEN_OFF + "; not begun " + UNABLE);
		Record.line("of " + sizes.size() + " long answers: read whole " + READ + ", others " + OTHERS);
		boolean alive = node.process.isAlive();
		Record.line("node is " + (alive ? "alive" : "ended") + ", its memory at its peak " + node.peakMb() + " MB");
		if (!alive || WRONG.get() > 0) {
			return 1;
		}
		return (WHOLE.get() > 0) ? 0 : 2;
	}

	/** Long answers of a few sizes, the longest first. */
	private static List<Integer> sizes() {
		List<Integer> sizes = new ArrayList<>(Collections.nCopies(LONGEST, 4_100_000));
		sizes.addAll(Collections.nCopies(3, 3_400_000));
		for (int bytes = 3_700_000; bytes >= 1_750_000; bytes -= 80_000) {
			sizes.add(bytes);
		}
		return sizes;
	}

	/** A worker that sends whole events in order and ends each stream with its last chunk. */
	private static void stream(String worker, Socket socket) throws IOException {
		InputStream in = new BufferedInputStream(socket.getInputStream());
		OutputStream out = socket.getOutputStream();
		while (true) {
			Wire.Message request = Wire.message(in);
			if (request == null) {
				return;
			}
			String id = request.field("X-Tallycart-Request-Id");
			out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
					+ "X-Tallycart-Request-Id: " + id + "\r\nX-Tallycart-Response-Stamp: 3e1b." + id + "\r\n\r\n").getBytes());
			out.flush();
			for (int i = 1; i <= EVENTS; i++) {
				Wire.sleep(EVENT_MS);
				String event = "id: " + i + "\ndata: " + "x".repeat(EVENT_BYTES + i * 997 % 4_000) + "\n\n";
				out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes());
				out.flush();
			}
			out.write("0\r\n\r\n".getBytes());
			out.flush();
			Record.line(id + " its worker " + worker + " has sent all " + EVENTS + " events and the end");
		}
	}

	private static void readStream(Node node, String id, CountDownLatch begin) {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(node.ip, node.front), 1_000);
			socket.setSoTimeout(DEADLINE_MS);
			InputStream in = new BufferedInputStream(socket.getInputStream());
			begin.await();
			ask(socket, id, "/s/x");
			Wire.Message head = Wire.head(in);
			if (head == null || head.status() != 200) {
				BROKEN_OFF.incrementAndGet();
				Record.line(id + " stream: " + ((head != null) ? head.first : "closed"));
				return;
			}
			judge(id, in);
		}
		catch (IOException | InterruptedException ex) {
			BROKEN_OFF.incrementAndGet();
			Record.line(id + " stream: " + ex);
		}
	}

	/** Reads the events until the end of the stream, of the connection, or of the time. */
	private static void judge(String id, InputStream in) {
		List<Integer> missing = new ArrayList<>();
		int last = 0;
		String end = "its last chunk";
		try {
			String line = Wire.line(in);
			while (!"0".equals(line)) {
				if (line == null) {
					throw new EOFException("end of the connection");
				}
				if (line.startsWith("id: ")) {
					int event = Integer.parseInt(line.substring("id: ".length()));
					for (int i = last + 1; i < event; i++) {
						missing.add(i);
					}
					last = event;
				}
				line = Wire.line(in);
			}
			for (int i = last + 1; i <= EVENTS; i++) {
				missing.add(i);
			}
		}
		catch (IOException ex) {
			end = ex.toString();
		}
		if (!missing.isEmpty()) {
			WRONG.incrementAndGet();
		}
		else if (last == EVENTS) {
			WHOLE.incrementAndGet();
		}
		else {
			BROKEN_OFF.incrementAndGet();
		}
		Record.line(id + " stream: 200, last event " + last + " of " + EVENTS + ", missing before the last or the end " + missing
				+ ", ended by " + end);
	}

	private static void read(Node node, String id, int bytes, boolean slow) {
		try (Socket socket = new Socket()) {
			socket.setReceiveBufferSize(1 << 10);
			socket.connect(new InetSocketAddress(node.ip, node.front), 1_000);
			socket.setSoTimeout(DEADLINE_MS);
			InputStream in = socket.getInputStream();
			ask(socket, id, "/p/" + bytes);
			Wire.Message head = Wire.head(in);
			if (head == null || head.status() != 200) {
				OTHERS.incrementAndGet();
				return;
			}
			Record.line(id + " begins to read its answer of " + bytes + " bytes");
			byte[] part = new byte[8_000];
			long begunMs = Record.nowMs();
			int got = 0;
			while (got < bytes) {
				int count = in.read(part, 0, Math.min(part.length, bytes - got));
				if (count < 0) {
					throw new EOFException("end of the connection");
				}
				got += count;
				if (slow) {
					Wire.sleep(Math.max(begunMs + got * 1000L / SLOW_BYTES_PER_S - Record.nowMs(), 0));
				}
			}
			READ.incrementAndGet();
		}
		catch (IOException ex) {
			OTHERS.incrementAndGet();
		}
	}

	private static void ask(Socket socket, String id, String path) throws IOException {
		Map<String, String> fields = new LinkedHashMap<>();
		fields.put("Host", "a.example");
		fields.put("X-Tallycart-Request-Id", id);
		fields.put("X-Tallycart-Deadline-Ms", String.valueOf(DEADLINE_MS));
		Wire.write(socket.getOutputStream(), "POST " + path + " HTTP/1.1", fields, "{}".getBytes());
	}

}
