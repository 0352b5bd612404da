package org.tallycart.http.event;

import java.util.Locale;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.vavr.control.Either;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseParser;
import org.jspecify.annotations.Nullable;
import org.tallycart.core.outcome.InvariantViolation;
import org.tallycart.core.outcome.UncaughtErrorReporter;

/**
 * A connection to an upstream, which carries one call at a time.
 * <p>
 * Invariant: bytes that come while no call waits for a reply end the connection, so that
 * they can never be taken for the next reply. Not thread-safe: belongs to its event loop.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter implements MessageReader.Sink<HttpResponse> {

	private static final int MAX_HEAD_LINE_BYTES = 16 * 1024;

	private static final int FIRST_FINAL_STATUS = 200;

	private final ConnectionPool pool;

	private final MessageReader<HttpResponse> reader;

	private @Nullable ChannelHandlerContext context;

	private @Nullable ReplyListener listener;

	private boolean headRequest;

	private boolean skipping;

	private boolean keepAlive;

	private long idleLimitMs;

	private long idleSinceMs;

	UpstreamConnection(ConnectionPool pool) {
		this.pool = pool;
		Http1Config config = Http1Config.custom().setMaxLineLength(MAX_HEAD_LINE_BYTES).build();
		this.reader = new MessageReader<>(new DefaultHttpResponseParser<>(DefaultHttpResponseFactory.INSTANCE, config),
				this);
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		this.context = context;
	}

	void start(ClientRequest exchange, ReplyListener replies) {
		this.listener = replies;
		this.skipping = false;
		this.keepAlive = true;
		this.idleLimitMs = ConnectionPool.UNANNOUNCED_IDLE_MS;
		this.headRequest = "HEAD".equals(exchange.head().getMethod());
		channel().writeAndFlush(Unpooled.wrappedBuffer(HeadWriter.request(exchange.head()), exchange.body()));
	}

	/** Closes the connection without a word to the listener. */
	void discard() {
		this.listener = null;
		channel().close();
	}

	// Whether the connection still carries the call of a listener.
	boolean carries(ReplyListener replies) {
		return this.listener == replies;
	}

	void pause(boolean paused) {
		channel().channel().config().setAutoRead(!paused);
	}

	boolean usable(long nowMs) {
		return channel().channel().isActive() && nowMs - this.idleSinceMs < this.idleLimitMs;
	}

	void idleSince(long nowMs) {
		this.idleSinceMs = nowMs;
		channel().channel().config().setAutoRead(true);
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		ByteBuf bytes = (ByteBuf) message;
		try {
			if (this.listener == null) {
				context.close();
			}
			else {
				this.reader.receive(bytes);
			}
		}
		finally {
			bytes.release();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		if (this.listener != null && !this.reader.inputEnded()) {
			fail(CallFailure.Kind.CLOSED, "connection closed");
		}
		this.pool.forget(this);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		UncaughtErrorReporter.report(cause);
		fail(CallFailure.Kind.CLOSED, "connection failed: " + cause.getMessage());
		context.close();
	}

	@Override
	public boolean wantsMore() {
		return this.listener != null;
	}

	@Override
	public Either<String, BodyFraming> onHead(HttpResponse head) {
		ReplyListener present = this.listener;
		if (head.getCode() < FIRST_FINAL_STATUS || present == null) {
			this.skipping = true;
			return Either.right(BodyFraming.EMPTY);
		}
		Either<String, BodyFraming> framing = BodyFraming.ofResponse(head, head.getCode(), this.headRequest);
		if (framing.isLeft()) {
			return framing;
		}
		this.skipping = !present.onHead(head);
		readConnectionFields(head);
		if (framing.get().kind() == BodyFraming.Kind.UNTIL_CLOSE) {
			this.keepAlive = false;
		}
		return framing;
	}

	private void readConnectionFields(HttpResponse head) {
		for (Header field : head.getHeaders("Connection")) {
			if (field.getValue().toLowerCase(Locale.ROOT).contains("close")) {
				this.keepAlive = false;
			}
		}
		Header announced = head.getFirstHeader("Keep-Alive");
		if (announced != null) {
			this.idleLimitMs = ConnectionPool.idleLimitMs(announced.getValue());
		}
	}

	@Override
	public void onBody(byte[] part) {
		if (!this.skipping && this.listener != null) {
			this.listener.onBody(part);
		}
	}

	@Override
	public void onEnd() {
		if (this.skipping) {
			this.skipping = false;
			return;
		}
		ReplyListener present = this.listener;
		this.listener = null;
		if (this.keepAlive && this.reader.unparsed() == 0) {
			this.pool.release(this);
		}
		else {
			channel().close();
		}
		if (present != null) {
			present.onEnd();
		}
	}

	@Override
	public void onMalformed(String reason) {
		fail(CallFailure.Kind.MALFORMED, reason);
		channel().close();
	}

	private void fail(CallFailure.Kind kind, String detail) {
		ReplyListener present = this.listener;
		this.listener = null;
		if (present != null) {
			present.onFailure(new CallFailure(kind, true, detail));
		}
	}

	private ChannelHandlerContext channel() {
		return InvariantViolation.requirePresent(this.context, "a connection without a channel");
	}

}
