package org.tallycart.http.event;

import java.io.IOException;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.util.concurrent.ScheduledFuture;
import io.vavr.control.Either;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestParser;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.jspecify.annotations.Nullable;
import org.tallycart.core.outcome.InvariantViolation;
import org.tallycart.core.outcome.UncaughtErrorReporter;
import org.tallycart.http.StrictLineParser;

/**
 * Connection of a caller: reads requests one at a time, each fully, and writes their
 * responses.
 * <p>
 * Invariants: one request is handled at a time, so responses keep the order of requests;
 * bytes that follow malformed framing are never parsed as a request. Not thread-safe:
 * confined to its event loop.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements MessageReader.Sink<HttpRequest> {

	private static final int BAD_REQUEST = 400;

	private static final int REQUEST_TIMEOUT = 408;

	private static final int CONTENT_TOO_LARGE = 413;

	private static final int HEAD_TOO_LARGE = 431;

	private static final int INTERNAL_ERROR = 500;

	/** Pipelined bytes buffered while a request is handled; above it reading stops. */
	private static final int MAX_UNPARSED_BYTES = 64 * 1024;

	/**
	 * Delay before the close that follows an error response, so that a caller that still
	 * sends reads the response rather than a reset.
	 */
	private static final long LINGER_MS = 1_000;

	/**
	 * Time for a body in all, from its head, in milliseconds. A body of 4 MB is complete
	 * in it at 70 KB a second.
	 */
	static final long BODY_TIMEOUT_MS = 60_000;

	/** Value of SO_LINGER with which any close resets the connection. */
	private static final int RESET_ON_CLOSE = 0;

	/** Value of SO_LINGER with which a close ends the connection normally. */
	private static final int CLOSE_IN_ORDER = -1;

	private final RequestHandler handler;

	private final ConnectionRegistry registry;

	private final MessageReader<HttpRequest> reader;

	private @Nullable ChannelHandlerContext context;

	private @Nullable HttpRequest head;

	private ByteBuf body = Unpooled.EMPTY_BUFFER;

	private @Nullable ActiveResponder responder;

	private boolean closing;

	private boolean refused;

	private ConnectionEnd end = ConnectionEnd.CALLER;

	private @Nullable ScheduledFuture<?> timer;

	/** Limits of the request that is being read, whatever changes meanwhile. */
	private RequestLimits limits;

	CallerConnection(RequestHandler handler, ConnectionRegistry registry) {
		this.handler = handler;
		this.registry = registry;
		this.limits = handler.limits();
		this.reader = new MessageReader<>(messageLimits(), (config) -> new DefaultHttpRequestParser<>(config,
				StrictLineParser.INSTANCE, DefaultHttpRequestFactory.INSTANCE), this);
	}

	private MessageLimits messageLimits() {
		return MessageLimits.builder().headBytes(this.limits.maxHeadBytes()).build();
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		this.context = context;
		this.registry.add(this);
		awaitIdleTimeout(0);
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.registry.remove(this);
		cancelTimer();
		ActiveResponder active = this.responder;
		this.responder = null;
		if (active != null) {
			active.onDisconnected();
		}
		this.handler.onClosed(this.end);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		ActiveResponder active = this.responder;
		if (cause instanceof IOException || active == null) {
			UncaughtErrorReporter.report(cause);
			context.close();
		}
		else {
			onHandlingFailed(active, cause);
		}
	}

	// Answers first: reporting may stop the process.
	private void onHandlingFailed(ActiveResponder active, Throwable cause) {
		this.end = ConnectionEnd.FAILED;
		active.answerFailure();
		UncaughtErrorReporter.report(cause);
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		ByteBuf bytes = (ByteBuf) message;
		try {
			receive(context, bytes);
		}
		finally {
			bytes.release();
		}
	}

	private void receive(ChannelHandlerContext context, ByteBuf bytes) {
		if (this.refused || this.closing && this.responder == null) {
			return;
		}
		boolean betweenRequests = this.responder == null && this.head == null && this.reader.incompleteHeadBytes() == 0;
		if (betweenRequests) {
			beginHead();
		}
		this.reader.receive(bytes);
		if (this.responder != null && this.reader.unparsedBytes() > MAX_UNPARSED_BYTES) {
			context.channel().config().setAutoRead(false);
		}
	}

	@Override
	public boolean isReady() {
		return this.responder == null && !this.refused && !this.closing;
	}

	@Override
	public Either<String, BodyFraming> onHead(HttpRequest request) {
		cancelTimer();
		Either<String, BodyFraming> framing = BodyFraming.ofRequest(request);
		if (framing.isLeft()) {
			return framing;
		}
		this.head = request;
		this.body = Unpooled.buffer();
		if (framing.get().length() > this.limits.maxBodyBytes()) {
			refuse(CONTENT_TOO_LARGE, "body too large");
			return framing;
		}
		if (framing.get().kind() == BodyFraming.Kind.CHUNKED || framing.get().length() > 0) {
			schedule(BODY_TIMEOUT_MS, () -> refuse(REQUEST_TIMEOUT, "body timed out"));
		}
		if (request.containsHeader("Expect")) {
			requireContext().writeAndFlush(Unpooled.wrappedBuffer(HeadWriter.CONTINUE));
		}
		return framing;
	}

	@Override
	public void onBody(byte[] part) {
		if (this.refused) {
			return;
		}
		this.body.writeBytes(part);
		if (this.body.readableBytes() > this.limits.maxBodyBytes()) {
			refuse(CONTENT_TOO_LARGE, "body too large");
		}
	}

	@Override
	public void onEnd() {
		HttpRequest request = this.head;
		if (this.refused || request == null) {
			return;
		}
		cancelTimer();
		this.head = null;
		byte[] bytes = new byte[this.body.readableBytes()];
		this.body.readBytes(bytes);
		this.body = Unpooled.EMPTY_BUFFER;
		ActiveResponder active = new ActiveResponder(isHttp10(request), isKeepAlive(request));
		this.responder = active;
		try {
			this.handler.onRequest(request, bytes, active);
		}
		catch (Exception | Error ex) {
			onHandlingFailed(active, ex);
		}
	}

	@Override
	public void onMalformed(String reason) {
		refuse(BAD_REQUEST, reason);
	}

	@Override
	public void onLimitExceeded(LimitExceeded exceeded) {
		boolean framing = exceeded.limit() == MessageLimit.FRAMING_BYTES;
		refuse(framing ? CONTENT_TOO_LARGE : HEAD_TOO_LARGE, exceeded.toString());
	}

	private static boolean isHttp10(HttpRequest request) {
		return request.getVersion() != null && request.getVersion().lessEquals(HttpVersion.HTTP_1_0);
	}

	private static boolean isKeepAlive(HttpRequest request) {
		for (Header field : request.getHeaders("Connection")) {
			if (field.getValue().toLowerCase(Locale.ROOT).contains("close")) {
				return false;
			}
		}
		return !isHttp10(request);
	}

	// Sends an error response to a request that is not read fully, then closes.
	private void refuse(int status, String reason) {
		if (this.refused) {
			return;
		}
		this.refused = true;
		HttpResponse response = new BasicHttpResponse(status);
		response.addHeader("Content-Length", "0");
		response.addHeader("Connection", "close");
		requireContext().writeAndFlush(Unpooled.wrappedBuffer(HeadWriter.response(response)));
		schedule(LINGER_MS, () -> close(ConnectionEnd.REFUSED));
		this.handler.onRefused(status, reason);
	}

	private void close(ConnectionEnd reason) {
		if (this.end == ConnectionEnd.CALLER) {
			this.end = reason;
		}
		requireContext().close();
	}

	/**
	 * Closes the connection of a draining server now if it is idle, otherwise after its
	 * current request. A request that is partly read is still read and answered; the
	 * response closes the connection.
	 */
	void closeWhenIdle() {
		boolean partlyRead = this.head != null || this.reader.incompleteHeadBytes() > 0;
		if (this.responder != null) {
			this.closing = true;
		}
		else if (!partlyRead) {
			this.closing = true;
			close(ConnectionEnd.STOPPED);
		}
	}

	boolean isBusy() {
		return this.responder != null || this.head != null;
	}

	private void onResponseEnd() {
		this.responder = null;
		if (this.closing) {
			return;
		}
		requireContext().channel().config().setAutoRead(true);
		awaitIdleTimeout(0);
		if (this.reader.unparsedBytes() > 0) {
			beginHead();
			this.reader.resume();
		}
	}

	// The limit may be raised while the connection is idle.
	private void awaitIdleTimeout(long idleMs) {
		long limitMs = this.handler.limits().idleTimeoutMs();
		if (idleMs < limitMs) {
			schedule(limitMs - idleMs, () -> awaitIdleTimeout(limitMs));
		}
		else {
			close(ConnectionEnd.IDLE);
		}
	}

	private void beginHead() {
		RequestLimits current = this.handler.limits();
		if (!current.equals(this.limits)) {
			this.limits = current;
			this.reader.setLimits(messageLimits());
		}
		schedule(this.limits.headTimeoutMs(), () -> refuse(REQUEST_TIMEOUT, "head timed out"));
	}

	private void schedule(long delayMs, Runnable action) {
		cancelTimer();
		this.timer = requireContext().executor().schedule(action, delayMs, TimeUnit.MILLISECONDS);
	}

	private void cancelTimer() {
		if (this.timer != null) {
			this.timer.cancel(false);
			this.timer = null;
		}
	}

	private ChannelHandlerContext requireContext() {
		return InvariantViolation.requirePresent(this.context, "the connection has no channel context");
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		if (this.responder != null) {
			this.responder.onWritability(context.channel().isWritable());
		}
	}

	/** Responder of the request that is being handled. */
	private final class ActiveResponder implements Responder {

		private final boolean http10;

		private final boolean keepAlive;

		private boolean closeDelimited;

		private boolean begun;

		private boolean ended;

		private @Nullable Runnable disconnectAction;

		private @Nullable Runnable failureAction;

		private @Nullable BackpressureListener backpressureListener;

		ActiveResponder(boolean http10, boolean keepAlive) {
			this.http10 = http10;
			this.keepAlive = keepAlive;
		}

		@Override
		public void send(HttpResponse response, byte[] bytes) {
			if (this.ended) {
				return;
			}
			response.setHeader("Content-Length", String.valueOf(bytes.length));
			boolean close = addCloseField(response);
			ByteBuf message = Unpooled.wrappedBuffer(HeadWriter.response(response), bytes);
			finish(message, close);
		}

		@Override
		public void begin(HttpResponse response) {
			if (this.ended) {
				return;
			}
			this.begun = true;
			if (this.http10) {
				beginUntilClose(response);
				return;
			}
			response.setHeader("Transfer-Encoding", "chunked");
			addCloseField(response);
			requireContext().writeAndFlush(Unpooled.wrappedBuffer(HeadWriter.response(response)));
		}

		@Override
		public void beginUntilClose(HttpResponse response) {
			if (this.ended) {
				return;
			}
			this.begun = true;
			this.closeDelimited = true;
			CallerConnection.this.closing = true;
			response.setHeader("Connection", "close");
			setLinger(RESET_ON_CLOSE);
			requireContext().writeAndFlush(Unpooled.wrappedBuffer(HeadWriter.response(response)));
		}

		private void setLinger(int seconds) {
			requireContext().channel().config().setOption(ChannelOption.SO_LINGER, seconds);
		}

		private boolean addCloseField(HttpResponse response) {
			boolean close = !this.keepAlive || CallerConnection.this.closing
					|| CallerConnection.this.registry.isDraining();
			if (close) {
				response.setHeader("Connection", "close");
				CallerConnection.this.closing = true;
			}
			return close;
		}

		@Override
		public void write(byte[] part) {
			if (this.ended || part.length == 0) {
				return;
			}
			ByteBuf bytes = this.closeDelimited ? Unpooled.wrappedBuffer(part)
					: Unpooled.wrappedBuffer(HeadWriter.chunkSize(part.length), part, HeadWriter.CRLF);
			requireContext().writeAndFlush(bytes);
		}

		@Override
		public void end() {
			if (this.ended) {
				return;
			}
			if (this.closeDelimited) {
				finish(Unpooled.EMPTY_BUFFER, true);
			}
			else {
				finish(Unpooled.wrappedBuffer(HeadWriter.LAST_CHUNK), CallerConnection.this.closing);
			}
		}

		private void finish(ByteBuf last, boolean close) {
			this.ended = true;
			var written = requireContext().writeAndFlush(last);
			if (close) {
				CallerConnection.this.closing = true;
				written.addListener((done) -> closeAfterEnd(done.isSuccess()));
			}
			onResponseEnd();
		}

		private void closeAfterEnd(boolean written) {
			if (this.closeDelimited && written) {
				setLinger(CLOSE_IN_ORDER);
			}
			close(ConnectionEnd.ANSWERED);
		}

		@Override
		public void abort() {
			if (!this.ended) {
				this.ended = true;
				close(ConnectionEnd.BROKEN_OFF);
			}
		}

		@Override
		public void onCallerDisconnected(Runnable action) {
			this.disconnectAction = action;
		}

		@Override
		public void onHandlingFailed(Runnable action) {
			this.failureAction = action;
		}

		@Override
		public void onBackpressure(BackpressureListener listener) {
			this.backpressureListener = listener;
		}

		private void onWritability(boolean writable) {
			if (this.backpressureListener != null && !this.ended) {
				this.backpressureListener.onPaused(!writable);
			}
		}

		// The state of the connection may be inconsistent, so it carries no other
		// request.
		private void answerFailure() {
			CallerConnection.this.closing = true;
			if (!this.ended) {
				runFailureAction();
			}
			if (this.ended) {
				closeUnlessBusy();
			}
			else if (this.begun) {
				abort();
			}
			else {
				send(new BasicHttpResponse(INTERNAL_ERROR), new byte[0]);
			}
		}

		private void runFailureAction() {
			Runnable action = this.failureAction;
			this.failureAction = null;
			if (action == null) {
				return;
			}
			try {
				action.run();
			}
			catch (Exception | Error ex) {
				UncaughtErrorReporter.report(ex);
			}
		}

		// The response may have kept the connection open.
		private void closeUnlessBusy() {
			if (CallerConnection.this.responder == null) {
				requireContext().writeAndFlush(Unpooled.EMPTY_BUFFER)
					.addListener((done) -> close(ConnectionEnd.FAILED));
			}
		}

		private void onDisconnected() {
			if (!this.ended) {
				this.ended = true;
				if (this.disconnectAction != null) {
					this.disconnectAction.run();
				}
			}
		}

	}

}
