import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** HTTP/1.1 over blocking sockets, for the stand-ins. */
final class Http {

	private Http() {
	}

	/** A message: its first line, its fields and its body. */
	static final class Message {

		String line = "";

		final Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

		byte[] body = new byte[0];

		String field(String name) {
			return this.fields.getOrDefault(name, "");
		}

		String method() {
			return this.line.split(" ")[0];
		}

		String target() {
			return this.line.split(" ")[1];
		}

		int status() {
			return Integer.parseInt(this.line.split(" ")[1]);
		}

	}

	/** Handles one request on its connection. */
	interface Handler {

		/** Returns false to close the connection. */
		boolean handle(Message request, Socket socket) throws Exception;

	}

	/** A server with one thread for each connection. */
	static final class Server implements AutoCloseable {

		final ServerSocket socket;

		final List<Socket> open = new ArrayList<>();

		Server(String ip, int port, Handler handler) throws IOException {
			this.socket = new ServerSocket();
			this.socket.setReuseAddress(true);
			this.socket.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 512);
			Thread accept = new Thread(() -> {
				while (!this.socket.isClosed()) {
					try {
						Socket s = this.socket.accept();
						s.setTcpNoDelay(true);
						synchronized (this.open) {
							this.open.add(s);
						}
						Thread t = new Thread(() -> serve(s, handler));
						t.setDaemon(true);
						t.start();
					}
					catch (IOException ex) {
						return;
					}
				}
			});
			accept.setDaemon(true);
			accept.start();
		}

		private void serve(Socket s, Handler handler) {
			try (s) {
				InputStream in = new BufferedInputStream(s.getInputStream());
				while (true) {
					Message request = read(in, false);
					if (request == null || !handler.handle(request, s)) {
						return;
					}
				}
			}
			catch (Exception ex) {
				// The peer has closed the connection.
			}
			finally {
				synchronized (this.open) {
					this.open.remove(s);
				}
			}
		}

		String address() {
			return this.socket.getInetAddress().getHostAddress() + ":" + this.socket.getLocalPort();
		}

		@Override
		public void close() throws IOException {
			this.socket.close();
			synchronized (this.open) {
				for (Socket s : this.open) {
					s.close();
				}
			}
		}

	}

	static String readLine(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		while (true) {
			int c = in.read();
			if (c < 0) {
				if (line.size() == 0) {
					return null;
				}
				throw new EOFException("end within a line");
			}
			if (c == '\n') {
				String text = line.toString(StandardCharsets.ISO_8859_1);
				return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
			}
			line.write(c);
		}
	}

	/** Reads the first line and the fields; null at the end of the input. */
	static Message readHead(InputStream in) throws IOException {
		Message message = new Message();
		String first = readLine(in);
		if (first == null) {
			return null;
		}
		message.line = first;
		while (true) {
			String line = readLine(in);
			if (line == null) {
				throw new EOFException("end within a head");
			}
			if (line.isEmpty()) {
				return message;
			}
			int colon = line.indexOf(':');
			message.fields.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
		}
	}

	static Message read(InputStream in, boolean response) throws IOException {
		Message message = readHead(in);
		if (message == null) {
			return null;
		}
		if (message.field("Transfer-Encoding").equalsIgnoreCase("chunked")) {
			ByteArrayOutputStream body = new ByteArrayOutputStream();
			while (true) {
				byte[] chunk = readChunk(in);
				if (chunk.length == 0) {
					break;
				}
				body.write(chunk);
			}
			message.body = body.toByteArray();
		}
		else if (!message.field("Content-Length").isEmpty()) {
			int length = Integer.parseInt(message.field("Content-Length"));
			message.body = in.readNBytes(length);
			if (message.body.length < length) {
				throw new EOFException("end within a body");
			}
		}
		else if (response) {
			message.body = in.readAllBytes();
		}
		return message;
	}

	/** Reads a chunk; empty at the end of the body. */
	static byte[] readChunk(InputStream in) throws IOException {
		String size = readLine(in);
		if (size == null) {
			throw new EOFException("end before a chunk");
		}
		int length = Integer.parseInt(size.split(";")[0].trim(), 16);
		byte[] chunk = in.readNBytes(length);
		if (chunk.length < length) {
			throw new EOFException("end within a chunk");
		}
		if (readLine(in) == null) {
			throw new EOFException("end after a chunk");
		}
		return chunk;
	}

	static void write(Socket socket, String head, byte[] body) throws IOException {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		out.write(head.getBytes(StandardCharsets.ISO_8859_1));
		out.write(body);
		socket.getOutputStream().write(out.toByteArray());
		socket.getOutputStream().flush();
	}

	static void respond(Socket socket, int status, String fields, byte[] body) throws IOException {
		write(socket, "HTTP/1.1 " + status + " X\r\nContent-Length: " + body.length + "\r\n" + fields + "\r\n", body);
	}

}
