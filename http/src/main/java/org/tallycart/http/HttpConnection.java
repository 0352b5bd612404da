package org.tallycart.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.vavr.control.Either;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.impl.HttpProcessors;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.impl.io.DefaultClassicHttpResponseFactory;
import org.apache.hc.core5.http.impl.io.DefaultHttpResponseParser;
import org.apache.hc.core5.http.impl.io.HttpRequestExecutor;
import org.apache.hc.core5.http.io.HttpMessageParser;
import org.apache.hc.core5.http.io.HttpResponseInformationCallback;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.util.Timeout;
import org.tallycart.core.ini.Address;

/**
 * Client connection that carries one call at a time.
 * <p>
 * Invariant: after a failure the connection is closed and never used again, so a late
 * reply is never taken for that of another call. {@link #abort()} may be called from any
 * thread, all other methods from one thread at a time.
 *
 * @since 0.1
 */
public final class HttpConnection implements AutoCloseable {

	private static final HttpProcessor PROCESSOR = HttpProcessors.client();

	private static final HttpRequestExecutor EXECUTOR = new HttpRequestExecutor();

	private static final int MAX_BODY_BYTES = 8 << 20;

	private static final int MAX_BODY_LINE_CHARS = 1 << 20;

	/** Maximum size of a line of a head, a chunk or a trailer, in bytes. */
	private static final int MAX_HEAD_LINE_BYTES = 16 << 10;

	/** Maximum number of fields of a head, and of trailers. */
	private static final int MAX_FIELDS = 256;

	/** Maximum number of informational replies before a reply. */
	private static final int MAX_INFORMATIONAL_REPLIES = 16;

	private static final Http1Config CONFIG = Http1Config.custom()
		.setMaxLineLength(MAX_HEAD_LINE_BYTES)
		.setMaxHeaderCount(MAX_FIELDS)
		.build();

	private final Address address;

	private final DefaultBHttpClientConnection connection;

	private final Socket socket;

	private volatile boolean reusable = true;

	private HttpConnection(Address address, DefaultBHttpClientConnection connection, Socket socket) {
		this.address = address;
		this.connection = connection;
		this.socket = socket;
	}

	/**
	 * Open a connection.
	 * @param address the address of the peer
	 * @param timeoutMs the connect timeout, in milliseconds
	 * @return the connection, or a failure with {@code sent} false
	 */
	public static Either<HttpFailure, HttpConnection> connect(Address address, long timeoutMs) {
		Socket socket = new Socket();
		try {
			socket.setTcpNoDelay(true);
			socket.connect(new InetSocketAddress(address.host(), address.port()), (int) Math.max(timeoutMs, 1));
			DefaultBHttpClientConnection connection = new DefaultBHttpClientConnection(CONFIG, null, null, null, null,
					null, HttpConnection::parser);
			connection.bind(socket);
			return Either.right(new HttpConnection(address, connection, socket));
		}
		catch (IOException ex) {
			closeQuietly(socket);
			return Either.left(new HttpFailure(HttpFailure.Kind.CONNECT, false, address + ": " + ex.getMessage()));
		}
	}

	private static HttpMessageParser<ClassicHttpResponse> parser(Http1Config config) {
		return new WholeHeadParser<>(new DefaultHttpResponseParser(config, StrictLineParser.INSTANCE,
				DefaultClassicHttpResponseFactory.INSTANCE));
	}

	/**
	 * Make a call and read the full reply.
	 * @param call the call
	 * @param timeoutMs the read timeout, in milliseconds
	 * @return the reply, or a failure with {@code sent} true
	 */
	public Either<HttpFailure, HttpReply> call(HttpCall call, long timeoutMs) {
		return callStreaming(call, timeoutMs).flatMap(StreamedReply::readFully);
	}

	/**
	 * Make a call and return its reply as soon as the head is read; the body is read from
	 * the returned reply.
	 * @param call the call
	 * @param timeoutMs the read timeout, in milliseconds
	 * @return the reply, or a failure with {@code sent} true
	 */
	public Either<HttpFailure, StreamedReply> callStreaming(HttpCall call, long timeoutMs) {
		try {
			setReadTimeout(timeoutMs);
			ClassicHttpRequest request = request(call);
			HttpCoreContext context = HttpCoreContext.create();
			EXECUTOR.preProcess(request, PROCESSOR, context);
			ClassicHttpResponse response = EXECUTOR.execute(request, this.connection, informationalLimit(), context);
			boolean keepAlive = DefaultConnectionReuseStrategy.INSTANCE.keepAlive(request, response, context);
			List<HttpField> fields = new ArrayList<>();
			for (Header header : response.getHeaders()) {
				fields.add(new HttpField(header.getName(), header.getValue()));
			}
			HttpEntity entity = response.getEntity();
			InputStream body = (entity != null) ? entity.getContent() : InputStream.nullInputStream();
			boolean framed = entity == null || entity.isChunked() || entity.getContentLength() >= 0;
			return Either.right(new StreamedReply(this, response.getCode(), fields, body, framed, keepAlive));
		}
		catch (IOException | HttpException ex) {
			return Either.left(fail(ex));
		}
	}

	private static HttpResponseInformationCallback informationalLimit() {
		AtomicInteger received = new AtomicInteger();
		return (response, connection, context) -> {
			if (received.incrementAndGet() > MAX_INFORMATIONAL_REPLIES) {
				throw new MessageTooLargeException("more than " + MAX_INFORMATIONAL_REPLIES + " informational replies");
			}
		};
	}

	private ClassicHttpRequest request(HttpCall call) {
		ClassicHttpRequest request = new BasicClassicHttpRequest(call.method(),
				new HttpHost("http", this.address.host(), this.address.port()), call.path());
		call.fields().forEach((field) -> request.addHeader(field.name(), field.value()));
		if (!call.method().equals("GET")) {
			request.setEntity(new ByteArrayEntity(call.body(), ContentType.APPLICATION_JSON));
		}
		return request;
	}

	/**
	 * Set the read timeout.
	 * @param timeoutMs the timeout, in milliseconds
	 */
	void setReadTimeout(long timeoutMs) {
		this.connection.setSocketTimeout(Timeout.of(Math.max(timeoutMs, 1), TimeUnit.MILLISECONDS));
	}

	HttpFailure fail(Exception ex) {
		abort();
		return new HttpFailure(kind(ex), true, this.address + ": " + ex.getMessage());
	}

	private static HttpFailure.Kind kind(Exception ex) {
		if (ex instanceof SocketTimeoutException) {
			return HttpFailure.Kind.TIMEOUT;
		}
		boolean tooLarge = ex instanceof MessageConstraintException || ex instanceof MessageTooLargeException;
		return tooLarge ? HttpFailure.Kind.TOO_LARGE : HttpFailure.Kind.BROKEN;
	}

	int maxBodyLineChars() {
		return MAX_BODY_LINE_CHARS;
	}

	int maxBodyBytes() {
		return MAX_BODY_BYTES;
	}

	void markNotReusable() {
		this.reusable = false;
	}

	/**
	 * Return whether the connection can carry another call.
	 * @return false if it is closed, stale or marked as not reusable
	 */
	public boolean isReusable() {
		try {
			return this.reusable && !this.connection.isStale();
		}
		catch (IOException ex) {
			return false;
		}
	}

	/**
	 * Return the address of the peer.
	 * @return the address
	 */
	public Address address() {
		return this.address;
	}

	/**
	 * Close the connection immediately; a call in progress fails. Thread-safe.
	 */
	public void abort() {
		this.reusable = false;
		closeQuietly(this.socket);
	}

	@Override
	public void close() {
		abort();
	}

	private static void closeQuietly(Socket socket) {
		try {
			socket.close();
		}
		catch (IOException ex) {
			// The socket is discarded even if the close failed.
		}
	}

	/** Informational replies that are too many. */
	private static final class MessageTooLargeException extends HttpException {

		private static final long serialVersionUID = 1L;

		MessageTooLargeException(String message) {
			super(message);
		}

	}

}
