package org.tallycart.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.vavr.control.Either;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.HttpProcessors;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;
import org.apache.hc.core5.http.impl.io.DefaultClassicHttpRequestFactory;
import org.apache.hc.core5.http.impl.io.DefaultHttpRequestParser;
import org.apache.hc.core5.http.impl.io.HttpService;
import org.apache.hc.core5.http.io.HttpMessageParser;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.apache.hc.core5.http.io.support.BasicHttpServerExpectationDecorator;
import org.apache.hc.core5.http.io.support.BasicHttpServerRequestHandler;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.tallycart.core.ini.Address;

/**
 * Blocking HTTP server with one thread per open connection, up to a limit. A connection
 * over the limit receives a 503 response with {@code Retry-After} and is closed.
 * <p>
 * Invariant: {@link #drain} closes no connection whose request has begun to arrive, until
 * its response is written or the timeout has passed. Thread-safe.
 *
 * @since 0.1
 */
public final class BlockingHttpServer implements AutoCloseable {

	private static final int BACKLOG = 1024;

	private static final long IDLE_THREAD_SECONDS = 10;

	private static final long DRAIN_STEP_MS = 10;

	private static final byte[] SERVICE_UNAVAILABLE = ("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
			+ "Content-Length: 0\r\nConnection: close\r\n\r\n")
		.getBytes(StandardCharsets.US_ASCII);

	private final ServerSocket socket;

	private final HttpService service;

	private final ThreadPoolExecutor workers;

	private final Set<ServerConnection> open = ConcurrentHashMap.newKeySet();

	private volatile boolean draining;

	private BlockingHttpServer(ServerSocket socket, String name, int maxConnections, HttpRequestHandler handler) {
		this.socket = socket;
		this.service = new HttpService(HttpProcessors.server(),
				new BasicHttpServerExpectationDecorator(new BasicHttpServerRequestHandler(
						(request, context) -> (req, res, ctx) -> handle(handler, req, res, ctx))));
		AtomicInteger number = new AtomicInteger();
		this.workers = new ThreadPoolExecutor(1, maxConnections + 1, IDLE_THREAD_SECONDS, TimeUnit.SECONDS,
				new SynchronousQueue<>(), (task) -> {
					Thread thread = new Thread(task, name + "-" + number.incrementAndGet());
					thread.setDaemon(true);
					return thread;
				});
	}

	/**
	 * Bind to an address and start to accept connections.
	 * @param address the address to bind; port 0 selects a free port
	 * @param name the prefix of the thread names
	 * @param maxConnections the maximum number of connections served concurrently
	 * @param handler the handler of requests
	 * @return the server, or an error text if the address cannot be bound
	 */
	public static Either<String, BlockingHttpServer> start(Address address, String name, int maxConnections,
			HttpRequestHandler handler) {
		try {
			ServerSocket socket = new ServerSocket();
			socket.setReuseAddress(true);
			socket.bind(new InetSocketAddress(InetAddress.getByName(address.host()), address.port()), BACKLOG);
			BlockingHttpServer server = new BlockingHttpServer(socket, name, maxConnections, handler);
			server.workers.execute(server::acceptLoop);
			return Either.right(server);
		}
		catch (IOException ex) {
			return Either.left("cannot listen on " + address + ": " + ex.getMessage());
		}
	}

	private void acceptLoop() {
		while (!this.socket.isClosed()) {
			try {
				Socket accepted = this.socket.accept();
				accepted.setTcpNoDelay(true);
				serve(accepted);
			}
			catch (IOException ex) {
				if (this.socket.isClosed()) {
					return;
				}
			}
		}
	}

	private void serve(Socket accepted) throws IOException {
		ServerConnection connection = new ServerConnection(accepted);
		this.open.add(connection);
		try {
			this.workers.execute(() -> run(connection));
		}
		catch (RejectedExecutionException ex) {
			this.open.remove(connection);
			accepted.getOutputStream().write(SERVICE_UNAVAILABLE);
			accepted.close();
		}
	}

	private static HttpMessageParser<ClassicHttpRequest> parser(Http1Config config) {
		return new WholeHeadParser<>(new DefaultHttpRequestParser(config, StrictLineParser.INSTANCE,
				DefaultClassicHttpRequestFactory.INSTANCE));
	}

	private void run(ServerConnection connection) {
		try (DefaultBHttpServerConnection http = new DefaultBHttpServerConnection("http", Http1Config.DEFAULT, null,
				null, null, null, BlockingHttpServer::parser, null)) {
			http.bind(connection.socket());
			while (http.isOpen() && !(this.draining && connection.hasServed())) {
				HttpCoreContext context = HttpCoreContext.create();
				context.setAttribute(ServerConnection.ATTRIBUTE, connection);
				this.service.handleRequest(http, context);
				connection.onResponse();
			}
		}
		catch (IOException | HttpException ex) {
			// The peer disconnected or sent malformed HTTP: no response is possible.
		}
		finally {
			connection.close();
			this.open.remove(connection);
		}
	}

	private void handle(HttpRequestHandler handler, ClassicHttpRequest request, ClassicHttpResponse response,
			HttpContext context) throws HttpException, IOException {
		if (context.getAttribute(ServerConnection.ATTRIBUTE) instanceof ServerConnection connection) {
			connection.onRequest();
		}
		handler.handle(request, response, context);
		if (this.draining) {
			response.setHeader("Connection", "close");
		}
	}

	/**
	 * Return the bound port.
	 * @return the port number
	 */
	public int port() {
		return this.socket.getLocalPort();
	}

	/**
	 * Return the number of open connections.
	 * @return the count
	 */
	public int openCount() {
		return this.open.size();
	}

	/**
	 * Start draining: each further response carries {@code Connection: close}.
	 */
	public void beginDrain() {
		this.draining = true;
	}

	/**
	 * Stop accepting connections and wait until the open ones are closed.
	 * @param timeoutMs the maximum wait, in milliseconds
	 * @return true if all connections were closed within the timeout
	 */
	public boolean drain(long timeoutMs) {
		beginDrain();
		closeSocket();
		for (long waited = 0; waited < timeoutMs; waited += DRAIN_STEP_MS) {
			this.open.forEach(ServerConnection::shutdownIfIdle);
			if (this.open.isEmpty()) {
				return true;
			}
			sleepDrainStep();
		}
		return this.open.isEmpty();
	}

	private static void sleepDrainStep() {
		try {
			Thread.sleep(DRAIN_STEP_MS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void closeSocket() {
		try {
			this.socket.close();
		}
		catch (IOException ex) {
			// No connection is accepted from here on, even if the close failed.
		}
	}

	@Override
	public void close() {
		closeSocket();
		this.open.forEach(ServerConnection::close);
		this.workers.shutdownNow();
	}

}
