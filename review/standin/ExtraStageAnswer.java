import java.io.BufferedInputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.stream.Stream;

/**
 * Workers of stages send some answers once more, late. Breaks MIXED if a piece or a
 * request is then given the result of another request.
 */
final class ExtraStageAnswer {

	private static final int WORKERS = 4;

	private static final String[] POOLS = { "catalogo", "pagos", "franquicias" };

	/** One answer in this number is sent once more by a faulty worker (x = 0.03). */
	private static final int EXTRA_EVERY = 34;

	private static final long EPISODE_MS = 5_000;

	private static final long[] EPISODES = { 6_000 };

	private static final long END_MS = 18_000;

	private static final long REQUEST_INTERVAL_MS = 83;

	private static final String CONFIG = """
			{"version":7,"routes":[{"name":"r","host":"jepu9.example","path_prefix":"/cufi501/","kind":"streaming","timeout_ms":8000,
			 "slo_ms":3600,"priority":1,"service":"asistente","max_attempts":1,"stages":[{"service":"catalogo","after":[],"bytes":8000},
			 {"service":"pagos","after":[0],"bytes":60000},{"service":"franquicias","after":[1],"bytes":6000}],"public":false,
			 "sticky":true,"resumable":false,"gap_slo_ms":500}],
			 "services":[{"name":"asistente","health_path":"/healthz","max_conns":610,"engine":{"slots":128,"kv_capacity":286093,
			 "kv_token_bytes":131072,"link_mbps":130000.0,"handle_s":5.0,"models":[{"name":"m"}]}},
			 {"name":"catalogo","health_path":"/healthz","max_conns":610,"pieces":{"slots":1,"queue":2,"batch":6,"call_ms":200.0,
			 "item_ms":28.0,"headroom_mb":13.5,"handle_s":4.0,"link_mbps":10000}},
			 {"name":"pagos","health_path":"/healthz","max_conns":610,"pieces":{"slots":1,"queue":2,"batch":19,"call_ms":200.0,
			 "item_ms":9.03,"headroom_mb":2.4,"handle_s":4.0,"link_mbps":10000}},
			 {"name":"franquicias","health_path":"/healthz","max_conns":610,"pieces":{"slots":1,"queue":2,"batch":31,"call_ms":200.0,
			 "item_ms":5.57,"headroom_mb":0.4,"handle_s":4.0,"link_mbps":10000}}],
			 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
			 "tenants":[{"name":"bozi300","api_keys":["9dnn2ctnfzs989anu6ws"],"priority":1}]}""";

	private final Record record;

	private final AtomicInteger broken = new AtomicInteger();

	private final AtomicInteger faultyAnswers = new AtomicInteger();

	private final AtomicInteger extraAnswers = new AtomicInteger();

	private final boolean trouble;

	private ExtraStageAnswer(Record record, boolean trouble) {
		this.record = record;
		this.trouble = trouble;
	}

	public static void main(String[] arguments) throws Exception {
		int code = 2;
		Path folder = Files.createTempDirectory("review");
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		try (Record record = new Record(Path.of(arguments[0], "record.txt"))) {
			try {
				code = new ExtraStageAnswer(record, trouble).run(folder);
			}
			catch (Exception ex) {
				record.line("the case could not run: " + ex);
			}
		}
		try (Stream<Path> files = Files.walk(folder)) {
			files.sorted(Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
		}
		System.exit(code);
	}

	private boolean repeatsAnswer() {
		long now = this.record.ms();
		boolean faulty = this.trouble && Arrays.stream(EPISODES).anyMatch((from) -> now >= from && now < from + EPISODE_MS);
		boolean repeats = faulty && this.faultyAnswers.incrementAndGet() % EXTRA_EVERY == 0;
		if (repeats) {
			this.extraAnswers.incrementAndGet();
		}
		return repeats;
	}

	// Inputs of a piece or a request have to be results of the same request.
	private void check(String receiver, String requestId, int stage, List<String> inputs) {
		for (String input : inputs) {
			String made = PoolWorker.MADE.getOrDefault(input, "nothing");
			if (!made.startsWith(requestId + " stage " + stage + " ")) {
				this.broken.incrementAndGet();
				this.record.line("MIXED: " + receiver + " is given " + input + ", which is the result of " + made);
			}
		}
	}

	private int run(Path folder) throws Exception {
		List<AutoCloseable> open = new ArrayList<>();
		try {
			Store store = new Store("127.0.0.1");
			open.add(store);
			store.put("config", "main", Json.parse(CONFIG));
			BiConsumer<String, List<String>> onPiece = (piece, inputs) -> {
				this.record.line("runs " + piece + " inputs " + inputs);
				String[] words = piece.split(" ");
				check(piece, words[0], Integer.parseInt(words[2]) - 1, inputs);
			};
			double[] itemMs = { 28, 9.03, 5.57 };
			for (int p = 0; p < POOLS.length; p++) {
				for (int i = 0; i < WORKERS; i++) {
					// Six tenths of the workers are faulty (share = 0.6).
					boolean faulty = (p * WORKERS + i) % 5 < 3;
					PoolWorker worker = new PoolWorker("i-" + POOLS[p] + i, "127.0.0.1", 200, itemMs[p],
							() -> faulty && repeatsAnswer(), onPiece, this.record);
					open.add(worker);
					store.put("servers", worker.id, worker.entry(POOLS[p], "usaquen"));
				}
			}
			for (int i = 0; i < 2; i++) {
				Http.Server engine = new Http.Server("127.0.0.1", 0, this::generate);
				open.add(engine);
				store.put("servers", "i-engine" + i, PoolWorker.entry("asistente", "usaquen", engine.address(), 128));
			}
			List<NodeProcess> nodes = new ArrayList<>();
			for (int i = 1; i <= 2; i++) {
				NodeProcess node = new NodeProcess(folder, "front-usaquen-" + i, NodeProcess.freeAddress(), "usaquen",
						store.address(), "");
				open.add(node);
				nodes.add(node);
			}
			for (NodeProcess node : nodes) {
				node.awaitReady();
			}
			return load(nodes);
		}
		finally {
			for (int i = open.size() - 1; i >= 0; i--) {
				open.get(i).close();
			}
		}
	}

	private boolean generate(Http.Message request, Socket socket) throws Exception {
		String id = request.field("X-Tallycart-Request-Id");
		if (id.isEmpty()) {
			Http.respond(socket, 200, "", "{}".getBytes(StandardCharsets.UTF_8));
			return true;
		}
		this.record.line("engine runs " + id + " inputs " + request.field("X-Tallycart-Inputs"));
		check(id, id, 2, List.of(request.field("X-Tallycart-Inputs").split(",")));
		Thread.sleep(60);
		Http.write(socket, "HTTP/1.1 200 OK\r\nX-Tallycart-Request-Id: " + id
				+ "\r\nX-Tallycart-Response-Stamp: 3e1b\r\nX-Tallycart-Server-Load: 1,0,128\r\nContent-Type: text/event-stream\r\n"
				+ "Keep-Alive: timeout=5\r\nTransfer-Encoding: chunked\r\n\r\n", new byte[0]);
		for (int event = 1; event <= 8; event++) {
			byte[] text = ("id: " + event + "\ndata: x\n\n").getBytes(StandardCharsets.UTF_8);
			Http.write(socket, Integer.toHexString(text.length) + "\r\n" + new String(text, StandardCharsets.UTF_8) + "\r\n",
					new byte[0]);
			Thread.sleep(20);
		}
		Http.write(socket, "0\r\n\r\n", new byte[0]);
		return true;
	}

	private int load(List<NodeProcess> nodes) throws Exception {
		Map<String, Integer> answers = new ConcurrentSkipListMap<>();
		List<Thread> clients = new ArrayList<>();
		for (int i = 0; this.record.ms() < END_MS; i++) {
			NodeProcess node = nodes.get(i % nodes.size());
			String id = String.format("9c41d07be2%06x", i);
			Thread client = new Thread(() -> {
				String answer = call(node, id);
				answers.merge(answer, 1, Integer::sum);
				this.record.line("answer to " + id + ": " + answer);
			});
			clients.add(client);
			client.start();
			Thread.sleep(REQUEST_INTERVAL_MS);
		}
		for (Thread client : clients) {
			client.join();
		}
		this.record.line("answers " + answers + ", extra answers of workers " + this.extraAnswers + ", MIXED " + this.broken);
		System.out.println("answers " + answers + ", extra answers of workers " + this.extraAnswers + ", MIXED " + this.broken);
		if (answers.getOrDefault("200", 0) < 100) {
			return 2;
		}
		return (this.broken.get() > 0) ? 1 : 0;
	}

	private String call(NodeProcess node, String id) {
		this.record.line("client sends " + id + " to " + node.name);
		try (Socket socket = new Socket(node.ip, node.front)) {
			socket.setSoTimeout(9_000);
			byte[] body = new byte[4_700];
			Http.write(socket, "POST /cufi501/2f HTTP/1.1\r\nHost: jepu9.example\r\nX-Tallycart-Request-Id: " + id
					+ "\r\nX-Tallycart-Model: m\r\nX-Tallycart-Token-Counts: 1460,80\r\n"
					+ "X-Tallycart-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410," + id.substring(8) + ":250\r\n"
					+ "X-Tallycart-Pieces: 1,1,1\r\nX-Tallycart-Piece-Key: 7c" + id + "\r\nX-Tallycart-Deadline-Ms: 8000\r\n"
					+ "Api-Key: 9dnn2ctnfzs989anu6ws\r\nContent-Length: " + body.length + "\r\n\r\n", body);
			Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()), true);
			return (answer != null) ? String.valueOf(answer.status()) : "closed";
		}
		catch (Exception ex) {
			return ex.toString();
		}
	}

}
