package org.tallycart.http.event;

import java.util.Locale;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.ScheduledFuture;
import io.vavr.control.Either;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestParser;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.jspecify.annotations.Nullable;
import org.tallycart.core.outcome.InvariantViolation;
import org.tallycart.core.outcome.UncaughtErrorReporter;

/**
 * A caller's connection: reads requests one after the other, each whole, and writes their
 * answers.
 * <p>
 * Invariants: one request is handled at a time, so answers keep the order of requests;
 * what follows malformed framing is never read as a request. Not thread-safe: belongs to
 * its event loop.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements MessageReader.Sink<HttpRequest> {

	private static final int BAD_REQUEST = 400;

	private static final int REQUEST_TIMEOUT = 408;

	private static final int CONTENT_TOO_LARGE = 413;

	private static final int HEAD_TOO_LARGE = 431;

	/** Pipelined bytes kept while a request is handled; a caller with more waits. */
	private static final int MAX_UNPARSED_BYTES = 64 * 1024;

	/**
	 * How long a connection stays open after an error answer, so that a caller that still
	 * sends reads the answer rather than a reset. Far above a round trip.
	 */
	private static final long LINGER_MS = 1_000;

	private final RequestHandler handler;

	private final ConnectionRegistry registry;

	private final MessageReader<HttpRequest> reader;

	private @Nullable ChannelHandlerContext context;

	private @Nullable HttpRequest head;

	private ByteBuf body = Unpooled.EMPTY_BUFFER;

	private @Nullable ActiveResponder exchange;

	private boolean closing;

	private boolean refused;

	private @Nullable ScheduledFuture<?> timer;

	CallerConnection(RequestHandler handler, ConnectionRegistry registry) {
		this.handler = handler;
		this.registry = registry;
		Http1Config config = Http1Config.custom().setMaxLineLength(handler.limits().maxHeadBytes()).build();
		this.reader = new MessageReader<>(new DefaultHttpRequestParser<>(DefaultHttpRequestFactory.INSTANCE, config),
				this);
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		this.context = context;
		this.registry.add(this);
		scheduleIdle();
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.registry.remove(this);
		cancelTimer();
		ActiveResponder present = this.exchange;
		this.exchange = null;
		if (present != null) {
			present.onGone();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		UncaughtErrorReporter.report(cause);
		context.close();
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
		if (this.refused || this.closing && this.exchange == null) {
			return;
		}
		boolean between = this.exchange == null && this.head == null && this.reader.incompleteHeadBytes() == 0;
		if (between) {
			scheduleHeadTimeout();
		}
		this.reader.receive(bytes);
		if (this.exchange == null && this.reader.incompleteHeadBytes() > this.handler.limits().maxHeadBytes()) {
			refuse(HEAD_TOO_LARGE, "head too large");
		}
		if (this.exchange != null && this.reader.unparsed() > MAX_UNPARSED_BYTES) {
			context.channel().config().setAutoRead(false);
		}
	}

	@Override
	public boolean wantsMore() {
		return this.exchange == null && !this.refused;
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
		if (framing.get().length() > this.handler.limits().maxBodyBytes()) {
			refuse(CONTENT_TOO_LARGE, "body too large");
			return framing;
		}
		if (request.containsHeader("Expect")) {
			channel().writeAndFlush(Unpooled.wrappedBuffer(HeadWriter.CONTINUE));
		}
		return framing;
	}

	@Override
	public void onBody(byte[] part) {
		if (this.refused) {
			return;
		}
		this.body.writeBytes(part);
		if (this.body.readableBytes() > this.handler.limits().maxBodyBytes()) {
			refuse(CONTENT_TOO_LARGE, "body too large");
		}
	}

	@Override
	public void onEnd() {
		HttpRequest request = this.head;
		if (this.refused || request == null) {
			return;
		}
		this.head = null;
		byte[] bytes = new byte[this.body.readableBytes()];
		this.body.readBytes(bytes);
		this.body = Unpooled.EMPTY_BUFFER;
		ActiveResponder fresh = new ActiveResponder(keepsAlive(request));
		this.exchange = fresh;
		this.handler.onRequest(request, bytes, fresh);
	}

	@Override
	public void onMalformed(String reason) {
		refuse(BAD_REQUEST, reason);
	}

	private static boolean keepsAlive(HttpRequest request) {
		boolean old = request.getVersion() != null && request.getVersion().lessEquals(HttpVersion.HTTP_1_0);
		for (Header field : request.getHeaders("Connection")) {
			if (field.getValue().toLowerCase(Locale.ROOT).contains("close")) {
				return false;
			}
		}
		return !old;
	}

	// Answers a request that is not read to its end, and closes.
	private void refuse(int status, String reason) {
		if (this.refused) {
			return;
		}
		this.refused = true;
		cancelTimer();
		this.handler.onRefused(status, reason);
		HttpResponse response = new BasicHttpResponse(status);
		response.addHeader("Content-Length", "0");
		response.addHeader("Connection", "close");
		ChannelHandlerContext open = channel();
		open.writeAndFlush(Unpooled.wrappedBuffer(HeadWriter.response(response)));
		schedule(LINGER_MS, open::close);
	}

	/** Closes the connection once it carries no request. */
	void closeWhenIdle() {
		this.closing = true;
		if (this.exchange == null && this.head == null && this.reader.incompleteHeadBytes() == 0) {
			channel().close();
		}
	}

	boolean busy() {
		return this.exchange != null || this.head != null;
	}

	private void next() {
		this.exchange = null;
		if (this.closing) {
			return;
		}
		channel().channel().config().setAutoRead(true);
		scheduleIdle();
		if (this.reader.unparsed() > 0) {
			scheduleHeadTimeout();
			this.reader.proceed();
		}
	}

	private void scheduleIdle() {
		schedule(this.handler.limits().idleTimeoutMs(), () -> channel().close());
	}

	private void scheduleHeadTimeout() {
		schedule(this.handler.limits().headTimeoutMs(), () -> refuse(REQUEST_TIMEOUT, "head timed out"));
	}

	private void schedule(long delayMs, Runnable action) {
		cancelTimer();
		this.timer = channel().executor().schedule(action, delayMs, TimeUnit.MILLISECONDS);
	}

	private void cancelTimer() {
		if (this.timer != null) {
			this.timer.cancel(false);
			this.timer = null;
		}
	}

	private ChannelHandlerContext channel() {
		return InvariantViolation.requirePresent(this.context, "a connection without a channel");
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		if (this.exchange != null) {
			this.exchange.onWritability(context.channel().isWritable());
		}
	}

	/** The answer to the request that is being handled. */
	private final class ActiveResponder implements Responder {

		private final boolean keepAlive;

		private boolean ended;

		private @Nullable Runnable gone;

		private @Nullable BackpressureListener backpressure;

		ActiveResponder(boolean keepAlive) {
			this.keepAlive = keepAlive;
		}

		@Override
		public void send(HttpResponse response, byte[] bytes) {
			if (this.ended) {
				return;
			}
			response.setHeader("Content-Length", String.valueOf(bytes.length));
			boolean close = markClose(response);
			ByteBuf all = Unpooled.wrappedBuffer(HeadWriter.response(response), bytes);
			finish(all, close);
		}

		@Override
		public void begin(HttpResponse response) {
			if (this.ended) {
				return;
			}
			response.setHeader("Transfer-Encoding", "chunked");
			markClose(response);
			channel().writeAndFlush(Unpooled.wrappedBuffer(HeadWriter.response(response)));
		}

		private boolean markClose(HttpResponse response) {
			boolean close = !this.keepAlive || CallerConnection.this.closing
					|| CallerConnection.this.registry.draining();
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
			channel()
				.writeAndFlush(Unpooled.wrappedBuffer(HeadWriter.chunkSize(part.length), part, HeadWriter.LINE_END));
		}

		@Override
		public void end() {
			if (!this.ended) {
				finish(Unpooled.wrappedBuffer(HeadWriter.LAST_CHUNK), CallerConnection.this.closing);
			}
		}

		private void finish(ByteBuf last, boolean close) {
			this.ended = true;
			var written = channel().writeAndFlush(last);
			if (close) {
				CallerConnection.this.closing = true;
				written.addListener(ChannelFutureListener.CLOSE);
			}
			next();
		}

		@Override
		public void abort() {
			if (!this.ended) {
				this.ended = true;
				channel().close();
			}
		}

		@Override
		public void onCallerDisconnected(Runnable action) {
			this.gone = action;
		}

		@Override
		public void onBackpressure(BackpressureListener listener) {
			this.backpressure = listener;
		}

		private void onWritability(boolean writable) {
			if (this.backpressure != null && !this.ended) {
				this.backpressure.onPaused(!writable);
			}
		}

		private void onGone() {
			if (!this.ended) {
				this.ended = true;
				if (this.gone != null) {
					this.gone.run();
				}
			}
		}

	}

}
