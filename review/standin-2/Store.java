import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;

/** The platform's store by PROTOCOL.md: objects by kind and name, lists, watches, writes. Always sound. */
final class Store {

	private static final ObjectMapper JSON = new ObjectMapper();

	private record Event(long rev, String kind, ObjectNode object, boolean gone) {
	}

	private final Map<String, TreeMap<String, ObjectNode>> kinds = new HashMap<>();

	private final List<Event> events = new ArrayList<>();

	private long revision = 1;

	final String address;

	Store(String host) throws IOException {
		ServerSocket server = Wire.listen(host, 0, this::serve);
		this.address = host + ":" + server.getLocalPort();
	}

	/** What the operator and the workers write. */
	synchronized void put(String kind, String name, String spec) throws IOException {
		ObjectNode object = this.kinds.computeIfAbsent(kind, (key) -> new TreeMap<>()).get(name);
		ObjectNode next = object(name, JSON.readTree(spec), (object != null) ? object.path("metadata").path("created").asLong() : this.revision + 1);
		change(kind, name, next, false);
	}

	synchronized void remove(String kind, String name) {
		ObjectNode object = this.kinds.getOrDefault(kind, new TreeMap<>()).get(name);
		if (object != null) {
			change(kind, name, object.deepCopy(), true);
		}
	}

	private ObjectNode object(String name, JsonNode spec, long created) {
		ObjectNode object = JSON.createObjectNode();
		ObjectNode metadata = object.putObject("metadata");
		metadata.put("name", name).put("rev", this.revision + 1).put("created", created);
		metadata.putArray("finalizers");
		metadata.put("is_deleting", false);
		object.set("spec", spec);
		object.putNull("status");
		return object;
	}

	private void change(String kind, String name, ObjectNode object, boolean gone) {
		this.revision++;
		((ObjectNode) object.path("metadata")).put("rev", this.revision);
		if (gone) {
			this.kinds.get(kind).remove(name);
		}
		else {
			this.kinds.get(kind).put(name, object);
		}
		this.events.add(new Event(this.revision, kind, object, gone));
		notifyAll();
	}

	private void serve(Socket socket) throws IOException {
		InputStream in = new BufferedInputStream(socket.getInputStream());
		while (true) {
			Wire.Message request = Wire.message(in);
			if (request == null) {
				return;
			}
			Object[] reply = handle(request);
			byte[] body = reply[1].toString().getBytes(StandardCharsets.UTF_8);
			Wire.write(socket.getOutputStream(), "HTTP/1.1 " + reply[0] + " x", Map.of("Content-Type", "application/json"), body);
		}
	}

	private Object[] handle(Wire.Message request) throws IOException {
		String[] target = request.target().split("\\?", 2);
		Map<String, String> query = new HashMap<>();
		if (target.length > 1) {
			for (String pair : target[1].split("&")) {
				String[] parts = pair.split("=", 2);
				query.put(parts[0], URLDecoder.decode((parts.length > 1) ? parts[1] : "", StandardCharsets.UTF_8));
			}
		}
		String[] path = target[0].split("/");
		if (path.length < 4 || !target[0].startsWith("/v1/objects/")) {
			return new Object[] { 404, "{}" };
		}
		String kind = path[3];
		String name = (path.length > 4) ? URLDecoder.decode(path[4], StandardCharsets.UTF_8) : "";
		if (request.method().equals("GET")) {
			return query.containsKey("watch")
					? watch(kind, Long.parseLong(query.get("watch")), Long.parseLong(query.getOrDefault("wait_ms", "0")))
					: read(kind, name, query.getOrDefault("after", ""));
		}
		return write(request, kind, name, path.length > 5);
	}

	private synchronized Object[] read(String kind, String name, String after) {
		TreeMap<String, ObjectNode> all = this.kinds.getOrDefault(kind, new TreeMap<>());
		if (!name.isEmpty()) {
			ObjectNode found = all.get(name);
			return (found != null) ? new Object[] { 200, found } : new Object[] { 404, "{}" };
		}
		ObjectNode reply = JSON.createObjectNode();
		ArrayNode items = reply.putArray("items");
		all.tailMap(after, false).values().forEach(items::add);
		reply.put("has_more", false).put("current_rev", this.revision);
		return new Object[] { 200, reply };
	}

	private synchronized Object[] watch(String kind, long from, long waitMs) {
		long end = System.nanoTime() + waitMs * 1_000_000;
		while (true) {
			ObjectNode reply = JSON.createObjectNode();
			ArrayNode list = reply.putArray("events");
			for (Event event : this.events) {
				if (event.rev > from && event.kind.equals(kind)) {
					list.addObject().put("is_gone", event.gone).set("object", event.object);
				}
			}
			long leftMs = (end - System.nanoTime()) / 1_000_000;
			if (!list.isEmpty() || leftMs <= 0) {
				reply.put("current_rev", this.revision);
				return new Object[] { 200, reply };
			}
			try {
				wait(leftMs);
			}
			catch (InterruptedException ex) {
				return new Object[] { 503, "{}" };
			}
		}
	}

	private synchronized Object[] write(Wire.Message request, String kind, String name, boolean status) throws IOException {
		TreeMap<String, ObjectNode> all = this.kinds.computeIfAbsent(kind, (key) -> new TreeMap<>());
		JsonNode body = (request.body.length > 0) ? JSON.readTree(request.body) : JSON.createObjectNode();
		String target = name.isEmpty() ? body.path("metadata").path("name").asText() : name;
		ObjectNode old = all.get(target);
		JsonNode rev = body.path("metadata").path("rev");
		if (request.method().equals("POST") && old != null) {
			return new Object[] { 409, old };
		}
		if (!request.method().equals("POST") && old == null) {
			return new Object[] { 404, "{}" };
		}
		if (old != null && rev.isNumber() && rev.asLong() != old.path("metadata").path("rev").asLong()) {
			return new Object[] { 409, old };
		}
		if (request.method().equals("DELETE")) {
			change(kind, target, old.deepCopy(), true);
			return new Object[] { 200, old };
		}
		if (old != null && old.path("spec").equals(body.path("spec"))) {
			return new Object[] { 200, old };
		}
		ObjectNode next = object(target, body.path("spec"),
				(old != null) ? old.path("metadata").path("created").asLong() : this.revision + 1);
		change(kind, target, next, false);
		return new Object[] { 200, next };
	}

}
