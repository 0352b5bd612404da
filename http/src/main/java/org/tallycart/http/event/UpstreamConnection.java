package org.tallycart.http.event;

import java.util.Locale;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.vavr.control.Either;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseParser;
import org.jspecify.annotations.Nullable;
import org.tallycart.core.outcome.InvariantViolation;
import org.tallycart.core.outcome.UncaughtErrorReporter;
import org.tallycart.http.StrictLineParser;

/**
 * Connection to an upstream that carries one call at a time.
 * <p>
 * Invariants: bytes that arrive while no call is in progress close the connection, so
 * that they are never taken for the next reply. Only the end of the input, after the
 * request is written, completes a reply with neither a length nor chunks; a connection
 * that closes otherwise fails its call. Not thread-safe: confined to its event loop.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter implements MessageReader.Sink<HttpResponse> {

	private static final int FIRST_FINAL_STATUS = 200;

	private final ConnectionPool pool;

	private final MessageLimits limits;

	private final ConnectionObserver observer;

	private final MessageReader<HttpResponse> reader;

	private @Nullable ChannelHandlerContext context;

	private @Nullable ReplyListener listener;

	private @Nullable ChannelFuture requestWritten;

	private boolean headRequest;

	private boolean skippingMessage;

	private int precedingReplies;

	private long skippedBytes;

	private boolean closeDelimited;

	private boolean keepAlive;

	private long idleLimitMs;

	private long idleSinceMs;

	UpstreamConnection(ConnectionPool pool, MessageLimits limits, ConnectionObserver observer) {
		this.pool = pool;
		this.limits = limits;
		this.observer = observer;
		this.reader = new MessageReader<>(limits, (config) -> new DefaultHttpResponseParser<>(config,
				StrictLineParser.INSTANCE, DefaultHttpResponseFactory.INSTANCE), this);
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		this.context = context;
	}

	void start(ClientRequest request, ReplyListener replyListener) {
		this.listener = replyListener;
		this.observer.onCallStarted();
		this.skippingMessage = false;
		this.precedingReplies = 0;
		this.skippedBytes = 0;
		this.keepAlive = true;
		this.idleLimitMs = ConnectionPool.DEFAULT_IDLE_LIMIT_MS;
		this.headRequest = "HEAD".equals(request.head().getMethod());
		this.requestWritten = requireContext()
			.writeAndFlush(Unpooled.wrappedBuffer(HeadWriter.request(request.head()), request.body()));
	}

	/** Closes the connection without notifying the listener. */
	void discard() {
		endCall();
		requireContext().close();
	}

	private @Nullable ReplyListener endCall() {
		ReplyListener ended = this.listener;
		this.listener = null;
		if (ended != null) {
			this.observer.onCallEnded();
		}
		return ended;
	}

	// Compares by identity: the connection may already carry the call of another
	// listener.
	boolean isServing(ReplyListener replyListener) {
		return this.listener == replyListener;
	}

	void setPaused(boolean paused) {
		requireContext().channel().config().setAutoRead(!paused);
	}

	boolean isUsable(long nowMs) {
		return requireContext().channel().isActive() && nowMs - this.idleSinceMs < this.idleLimitMs;
	}

	void markIdle(long nowMs) {
		this.idleSinceMs = nowMs;
		requireContext().channel().config().setAutoRead(true);
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		ByteBuf bytes = (ByteBuf) message;
		this.observer.onReceived();
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
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (!(event instanceof ChannelInputShutdownEvent)) {
			return;
		}
		// A connection that is reset while the request is written shows the same event.
		ChannelFuture written = this.requestWritten;
		if (written == null) {
			context.close();
		}
		else {
			written.addListener((done) -> onInputEnd(context, done.isSuccess()));
		}
	}

	private void onInputEnd(ChannelHandlerContext context, boolean written) {
		if (written) {
			this.reader.onInputEnd();
		}
		context.close();
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		fail(CallFailure.Kind.CLOSED, "connection closed");
		this.pool.remove(this);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		UncaughtErrorReporter.report(cause);
		fail(CallFailure.Kind.CLOSED, "connection failed: " + cause.getMessage());
		context.close();
	}

	@Override
	public boolean isReady() {
		return this.listener != null;
	}

	@Override
	public Either<String, BodyFraming> onHead(HttpResponse head) {
		ReplyListener currentListener = this.listener;
		if (head.getCode() < FIRST_FINAL_STATUS || currentListener == null) {
			skipMessage();
			return Either.right(BodyFraming.EMPTY);
		}
		Either<String, BodyFraming> framing = BodyFraming.ofResponse(head, head.getCode(), this.headRequest);
		if (framing.isLeft()) {
			return framing;
		}
		if (!currentListener.onHead(head)) {
			skipMessage();
		}
		readConnectionFields(head);
		this.closeDelimited = framing.get().kind() == BodyFraming.Kind.UNTIL_CLOSE;
		if (this.closeDelimited) {
			this.keepAlive = false;
		}
		return framing;
	}

	private void skipMessage() {
		this.skippingMessage = true;
		this.precedingReplies++;
		if (this.precedingReplies > this.limits.precedingReplies()) {
			onLimitExceeded(new LimitExceeded(MessageLimit.PRECEDING_REPLIES, this.limits.precedingReplies(),
					this.precedingReplies));
		}
	}

	private void readConnectionFields(HttpResponse head) {
		for (Header field : head.getHeaders("Connection")) {
			if (field.getValue().toLowerCase(Locale.ROOT).contains("close")) {
				this.keepAlive = false;
			}
		}
		Header keepAliveField = head.getFirstHeader("Keep-Alive");
		if (keepAliveField != null) {
			this.idleLimitMs = ConnectionPool.idleLimitMs(keepAliveField.getValue());
		}
	}

	@Override
	public void onBody(byte[] part) {
		if (this.skippingMessage) {
			this.skippedBytes += part.length;
			if (this.skippedBytes > this.limits.skippedBytes()) {
				onLimitExceeded(
						new LimitExceeded(MessageLimit.SKIPPED_BYTES, this.limits.skippedBytes(), this.skippedBytes));
			}
		}
		else if (this.listener != null) {
			this.listener.onBody(part);
		}
	}

	@Override
	public void onEnd() {
		if (this.skippingMessage) {
			this.skippingMessage = false;
			return;
		}
		ReplyListener currentListener = endCall();
		// The call was cancelled within the last part, which closed the connection.
		if (currentListener == null) {
			return;
		}
		if (this.keepAlive && this.reader.unparsedBytes() == 0) {
			this.pool.release(this);
		}
		else {
			requireContext().close();
		}
		currentListener.onEnd(this.closeDelimited ? ReplyEnd.INPUT_CLOSED : ReplyEnd.FRAMED);
	}

	@Override
	public void onMalformed(String reason) {
		fail(CallFailure.Kind.MALFORMED, reason);
		requireContext().close();
	}

	@Override
	public void onLimitExceeded(LimitExceeded exceeded) {
		ReplyListener currentListener = endCall();
		requireContext().close();
		if (currentListener != null) {
			currentListener.onFailure(CallFailure.of(exceeded));
		}
	}

	private void fail(CallFailure.Kind kind, String detail) {
		ReplyListener currentListener = endCall();
		if (currentListener != null) {
			currentListener.onFailure(new CallFailure(kind, true, detail));
		}
	}

	private ChannelHandlerContext requireContext() {
		return InvariantViolation.requirePresent(this.context, "the connection has no channel context");
	}

}
