import java.io.*;
import java.net.*;
import java.nio.file.*;
import java.util.*;

/** Requests whose path begins with two slashes, beside usual ones. */
final class OtherPath {

	private static final String[] USUAL = { "/pay/7/charge", "/7/look" };

	private static final String[] UNUSUAL = { "//shop/pay/7/charge", "//x/y?a=1", "//pay/7/charge" };

	private static final List<String> RUNS = Collections.synchronizedList(new ArrayList<>());

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
		for (String service : List.of("pagos", "catalogo")) {
			Worker worker = new Worker("i-" + service, ip, (request) -> {
				RUNS.add(request.field("X-Tallycart-Request-Id") + " " + service + " " + request.target());
				return "done".getBytes();
			});
			worker.register(store, service, "usaquen", 6);
		}
		store.put("config", "main", "{\"version\":1,\"routes\":[" + route("pay", "/pay/", "pagos") + "," + route("all", "/", "catalogo")
				+ "],\"services\":[{\"name\":\"pagos\",\"health_path\":\"/healthz\",\"max_conns\":96,\"protocol\":\"h1\",\"tls\":false},"
				+ "{\"name\":\"catalogo\",\"health_path\":\"/healthz\",\"max_conns\":96,\"protocol\":\"h1\",\"tls\":false}],"
				+ "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
				+ "\"tenants\":[]}");
		Node node = Node.start("front-usaquen-1", "usaquen", ip, store, root, dir);
		node.awaitReady();
		Wire.sleep(1_000);
		List<String> paths = new ArrayList<>(List.of(USUAL));
		if (trouble) {
			paths.addAll(List.of(UNUSUAL));
		}
		int broken = 0;
		int unable = 0;
		for (int i = 0; i < paths.size(); i++) {
			String id = "q" + i;
			String path = paths.get(i);
			String answer = ask(node, id, path);
			String expected = id + " " + (path.startsWith("/pay/") ? "pagos" : "catalogo") + " " + path;
			List<String> runs = RUNS.stream().filter((run) -> run.startsWith(id + " ")).toList();
			Record.line(id + " sent POST " + path + "; answered " + answer + "; run " + runs);
			for (String run : runs) {
				if (!run.equals(expected)) {
					broken++;
					Record.line(id + " broken: a worker ran " + run + ", the client sent " + path);
				}
			}
			unable += (i < USUAL.length && !runs.equals(List.of(expected))) ? 1 : 0;
		}
		return (unable > 0) ? 2 : (broken > 0) ? 1 : 0;
	}

	private static String route(String name, String prefix, String service) {
		return "{\"name\":\"" + name + "\",\"host\":\"a.example\",\"path_prefix\":\"" + prefix + "\",\"kind\":\"non_idempotent\","
				+ "\"timeout_ms\":3000,\"slo_ms\":500,\"priority\":1,\"service\":\"" + service + "\",\"max_attempts\":1,\"stages\":[],"
				+ "\"public\":true,\"sticky\":false,\"resumable\":false,\"gap_slo_ms\":0}";
	}

	private static String ask(Node node, String id, String path) throws IOException {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(node.ip, node.front), 1_000);
			socket.setSoTimeout(5_000);
			Map<String, String> fields = new LinkedHashMap<>();
			fields.put("Host", "a.example");
			fields.put("X-Tallycart-Request-Id", id);
			fields.put("X-Tallycart-Deadline-Ms", "3000");
			Wire.write(socket.getOutputStream(), "POST " + path + " HTTP/1.1", fields, "{}".getBytes());
			Wire.Message reply = Wire.message(socket.getInputStream());
			return (reply != null) ? String.valueOf(reply.status()) : "nothing";
		}
	}

}
