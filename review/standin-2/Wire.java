import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;

/** Plain HTTP/1.1 over a socket, as the stand-ins of the second review speak it. */
final class Wire {

	private Wire() {
	}

	/** A message that was read whole. */
	static final class Message {

		String first = "";

		final Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

		byte[] body = new byte[0];

		String method() {
			return this.first.split(" ")[0];
		}

		String target() {
			return this.first.split(" ")[1];
		}

		int status() {
			return Integer.parseInt(this.first.split(" ")[1]);
		}

		String field(String name) {
			return this.fields.getOrDefault(name, "");
		}

	}

	/** Return the next line without its end; null at the end of the input before a line. */
	static String line(InputStream in) throws IOException {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		while (true) {
			int c = in.read();
			if (c < 0) {
				if (out.size() == 0) {
					return null;
				}
				throw new EOFException("within a line");
			}
			if (c == '\n') {
				String text = out.toString(StandardCharsets.ISO_8859_1);
				return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
			}
			out.write(c);
		}
	}

	/** Read a head; null at the end of the input before it. */
	static Message head(InputStream in) throws IOException {
		String first = line(in);
		if (first == null) {
			return null;
		}
		Message message = new Message();
		message.first = first;
		while (true) {
			String text = line(in);
			if (text == null) {
				throw new EOFException("within a head");
			}
			if (text.isEmpty()) {
				return message;
			}
			int colon = text.indexOf(':');
			message.fields.put(text.substring(0, colon).trim(), text.substring(colon + 1).trim());
		}
	}

	/** Read the body of a message whose head states a length or chunks. */
	static byte[] body(InputStream in, Message message) throws IOException {
		if (message.field("Transfer-Encoding").equalsIgnoreCase("chunked")) {
			ByteArrayOutputStream out = new ByteArrayOutputStream();
			while (true) {
				String size = line(in);
				if (size == null) {
					throw new EOFException("before a chunk");
				}
				int count = Integer.parseInt(size.split(";")[0].trim(), 16);
				byte[] part = exactly(in, count);
				out.write(part);
				String end = line(in);
				if (end == null) {
					throw new EOFException("after a chunk");
				}
				if (count == 0) {
					return out.toByteArray();
				}
			}
		}
		String length = message.field("Content-Length");
		return length.isEmpty() ? new byte[0] : exactly(in, Integer.parseInt(length));
	}

	static byte[] exactly(InputStream in, int count) throws IOException {
		byte[] bytes = in.readNBytes(count);
		if (bytes.length < count) {
			throw new EOFException("after " + bytes.length + " of " + count + " bytes");
		}
		return bytes;
	}

	static Message message(InputStream in) throws IOException {
		Message message = head(in);
		if (message != null) {
			message.body = body(in, message);
		}
		return message;
	}

	static void write(OutputStream out, String first, Map<String, String> fields, byte[] body) throws IOException {
		StringBuilder head = new StringBuilder(first).append("\r\n");
		fields.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
		head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
		ByteArrayOutputStream all = new ByteArrayOutputStream();
		all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
		all.write(body);
		out.write(all.toByteArray());
		out.flush();
	}

	/** Accept connections at an address, each on a thread of its own. */
	static ServerSocket listen(String host, int port, Service service) throws IOException {
		ServerSocket server = new ServerSocket();
		server.setReuseAddress(true);
		server.bind(new InetSocketAddress(host, port), 512);
		daemon(() -> {
			while (!server.isClosed()) {
				try {
					Socket socket = server.accept();
					socket.setTcpNoDelay(true);
					daemon(() -> {
						try (socket) {
							service.serve(socket);
						}
						catch (IOException | RuntimeException ex) {
							// The peer has gone.
						}
					});
				}
				catch (IOException ex) {
					return;
				}
			}
		});
		return server;
	}

	static Thread daemon(Runnable task) {
		Thread thread = new Thread(null, task, "standin", 256 << 10);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	static void sleep(long ms) {
		try {
			Thread.sleep(ms);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	interface Service {

		void serve(Socket socket) throws IOException;

	}

}
