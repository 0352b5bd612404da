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
import org.apache.hc.core5.http.impl.io.HttpService;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.apache.hc.core5.http.io.support.BasicHttpServerExpectationDecorator;
import org.apache.hc.core5.http.io.support.BasicHttpServerRequestHandler;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.tallycart.core.ini.Address;

/**
 * HTTP listener with one thread for each open connection, up to a bound. A connection
 * over the bound is answered 503 at once, with a time to come back.
 * <p>
 * Invariant: {@link #drain} closes no connection whose request has begun to arrive, until
 * its answer is written or the time is up. Thread-safe.
 *
 * @since 0.1
 */
public final class BlockingHttpServer implements AutoCloseable {

	private static final int BACKLOG = 1024;

	private static final long IDLE_THREAD_SECONDS = 10;

	private static final long DRAIN_STEP_MS = 10;

	private static final byte[] BUSY = ("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
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
	 * Start to listen.
	 * @param address where; port 0 takes a free one
	 * @param name name of the threads
	 * @param maxConnections connections served at a time, at most
	 * @param handler answers requests
	 * @return the listener, or why the address cannot be listened on
	 */
	public static Either<String, BlockingHttpServer> start(Address address, String name, int maxConnections,
			HttpRequestHandler handler) {
		try {
			ServerSocket socket = new ServerSocket();
			socket.setReuseAddress(true);
			socket.bind(new InetSocketAddress(InetAddress.getByName(address.host()), address.port()), BACKLOG);
			BlockingHttpServer listener = new BlockingHttpServer(socket, name, maxConnections, handler);
			listener.workers.execute(listener::accept);
			return Either.right(listener);
		}
		catch (IOException ex) {
			return Either.left("cannot listen on " + address + ": " + ex.getMessage());
		}
	}

	private void accept() {
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
			accepted.getOutputStream().write(BUSY);
			accepted.close();
		}
	}

	private void run(ServerConnection connection) {
		try (DefaultBHttpServerConnection http = new DefaultBHttpServerConnection("http", Http1Config.DEFAULT)) {
			http.bind(connection.socket());
			while (http.isOpen() && !(this.draining && connection.served())) {
				HttpCoreContext context = HttpCoreContext.create();
				context.setAttribute(ServerConnection.ATTRIBUTE, connection);
				this.service.handleRequest(http, context);
				connection.onAnswered();
			}
		}
		catch (IOException | HttpException ex) {
			// The peer went away or did not speak HTTP; there is nobody to tell.
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
	 * Return the port listened on.
	 * @return the port
	 */
	public int port() {
		return this.socket.getLocalPort();
	}

	/**
	 * Return how many connections are open.
	 * @return the number
	 */
	public int openCount() {
		return this.open.size();
	}

	/**
	 * Ask callers, with each answer, to close their connection.
	 */
	public void beginDrain() {
		this.draining = true;
	}

	/**
	 * Stop accepting and wait until the open connections have ended their requests.
	 * @param timeoutMs how long to wait
	 * @return whether all had ended in time
	 */
	public boolean drain(long timeoutMs) {
		beginDrain();
		closeSocket();
		for (long waited = 0; waited < timeoutMs; waited += DRAIN_STEP_MS) {
			this.open.forEach(ServerConnection::endIfIdle);
			if (this.open.isEmpty()) {
				return true;
			}
			pause();
		}
		return this.open.isEmpty();
	}

	private static void pause() {
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
			// Nothing is accepted any more, whether or not it closed well.
		}
	}

	@Override
	public void close() {
		closeSocket();
		this.open.forEach(ServerConnection::close);
		this.workers.shutdownNow();
	}

}
