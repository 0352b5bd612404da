import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.URISyntaxException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's store: objects by kind and name, lists and watches. */
final class Store implements AutoCloseable {

	private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new TreeMap<>();

	private final List<Object[]> history = new ArrayList<>();

	private long revision = 100;

	private static final String PARAMETER = "(after=[^&=]+|(is_stale|watch|wait_ms|rev)=\\d+)";

	private final Http.Server server;

	Store(String ip) throws IOException {
		this.server = new Http.Server(ip, 0, this::handle);
	}

	String address() {
		return this.server.address();
	}

	synchronized void put(String kind, String name, Object spec) {
		Map<String, Object> metadata = new LinkedHashMap<>();
		metadata.put("name", name);
		metadata.put("rev", ++this.revision);
		metadata.put("created", this.revision);
		metadata.put("finalizers", List.of());
		metadata.put("is_deleting", false);
		Map<String, Object> object = new LinkedHashMap<>();
		object.put("metadata", metadata);
		object.put("spec", spec);
		object.put("status", Map.of());
		this.kinds.computeIfAbsent(kind, (k) -> new TreeMap<>()).put(name, object);
		this.history.add(new Object[] { this.revision, kind, object, false });
		notifyAll();
	}

	synchronized void delete(String kind, String name) {
		Map<String, Object> object = this.kinds.getOrDefault(kind, new TreeMap<>()).remove(name);
		if (object != null) {
			this.history.add(new Object[] { ++this.revision, kind, object, true });
			notifyAll();
		}
	}

	synchronized List<Map<String, Object>> all(String kind) {
		return new ArrayList<>(this.kinds.getOrDefault(kind, new TreeMap<>()).values());
	}

	/** The request line is three words of printable ASCII, and the target a URI with parameters that exist. */
	private static boolean wellFormed(Http.Message request) {
		if (!request.line.matches("[A-Z]+ /v1/objects/[!-~]+ HTTP/1\\.1")) {
			return false;
		}
		try {
			URI uri = new URI(request.target());
			String path = uri.getRawPath().substring("/v1/objects/".length());
			String query = uri.getRawQuery();
			return uri.getRawFragment() == null && path.matches("[^/]+(/[^/]+(/status)?)?")
					&& (query == null || query.matches(PARAMETER + "(&" + PARAMETER + ")*"));
		}
		catch (URISyntaxException ex) {
			return false;
		}
	}

	private boolean handle(Http.Message request, Socket socket) throws Exception {
		if (!wellFormed(request)) {
			Http.respond(socket, 400, "", new byte[0]);
			return true;
		}
		String[] target = request.target().split("\\?", 2);
		Map<String, String> query = new TreeMap<>();
		if (target.length > 1) {
			for (String pair : target[1].split("&")) {
				String[] kv = pair.split("=", 2);
				query.put(kv[0], (kv.length > 1) ? URLDecoder.decode(kv[1], StandardCharsets.UTF_8) : "");
			}
		}
		String[] path = target[0].substring("/v1/objects/".length()).split("/");
		for (int i = 0; i < path.length; i++) {
			path[i] = URLDecoder.decode(path[i].replace("+", "%2B"), StandardCharsets.UTF_8);
		}
		String kind = path[0];
		int status = 200;
		Object body = Map.of();
		Thread.sleep(4);
		if (request.method().equals("GET") && query.containsKey("watch")) {
			body = watch(kind, Long.parseLong(query.get("watch")), Long.parseLong(query.getOrDefault("wait_ms", "0")));
		}
		else {
			synchronized (this) {
				TreeMap<String, Map<String, Object>> objects = this.kinds.computeIfAbsent(kind, (k) -> new TreeMap<>());
				switch (request.method()) {
					case "GET" -> {
						if (path.length > 1) {
							status = objects.containsKey(path[1]) ? 200 : 404;
							body = objects.getOrDefault(path[1], Map.of());
						}
						else {
							String after = query.getOrDefault("after", "");
							Map<String, Object> page = new LinkedHashMap<>();
							page.put("items", new ArrayList<>(after.isEmpty() ? objects.values() : objects.tailMap(after, false).values()));
							page.put("has_more", false);
							page.put("current_rev", this.revision);
							body = page;
						}
					}
					case "POST" -> {
						Map<?, ?> sent = (Map<?, ?>) Json.parse(new String(request.body, StandardCharsets.UTF_8));
						String name = (String) ((Map<?, ?>) sent.get("metadata")).get("name");
						if (objects.containsKey(name)) {
							status = 409;
						}
						else {
							put(kind, name, sent.get("spec"));
							status = 201;
						}
						body = objects.get(name);
					}
					case "PUT" -> {
						Map<?, ?> sent = (Map<?, ?>) Json.parse(new String(request.body, StandardCharsets.UTF_8));
						if (!objects.containsKey(path[1])) {
							status = 404;
						}
						else {
							put(kind, path[1], sent.get("spec"));
							body = objects.get(path[1]);
						}
					}
					default -> {
						status = objects.containsKey(path[1]) ? 200 : 404;
						delete(kind, path[1]);
					}
				}
			}
		}
		Http.respond(socket, status, "Content-Type: application/json\r\n", Json.write(body).getBytes(StandardCharsets.UTF_8));
		return true;
	}

	private synchronized Object watch(String kind, long from, long waitMs) throws InterruptedException {
		long end = System.nanoTime() + waitMs * 1_000_000;
		List<Object> events = new ArrayList<>();
		while (true) {
			for (Object[] change : this.history) {
				if ((long) change[0] > from && change[1].equals(kind)) {
					Map<String, Object> event = new LinkedHashMap<>();
					event.put("object", change[2]);
					event.put("is_gone", change[3]);
					events.add(event);
				}
			}
			long left = (end - System.nanoTime()) / 1_000_000;
			if (!events.isEmpty() || left <= 0) {
				Map<String, Object> page = new LinkedHashMap<>();
				page.put("events", events);
				page.put("current_rev", this.revision);
				return page;
			}
			wait(left);
		}
	}

	@Override
	public void close() throws IOException {
		this.server.close();
	}

}
