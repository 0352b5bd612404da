package org.tallycart.http.event;

import java.util.ArrayList;
import java.util.List;

import io.netty.channel.embedded.EmbeddedChannel;
import io.vavr.control.Either;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.jspecify.annotations.Nullable;
import org.tallycart.core.ini.Address;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests for {@link FullReplyCall}.
 */
public class FullReplyCallTests {

	private static final int PART_BYTES = 8 << 10;

	/** Bytes after which an endless body must have been given up. */
	private static final int MAX_SENT_BYTES = 32 << 20;

	private final List<Either<CallFailure, FullReply>> outcomes = new ArrayList<>();

	private final RecordingCaller caller = new RecordingCaller();

	@BeforeMethod
	void startCall() {
		this.outcomes.clear();
		this.caller.cancelled = false;
		ClientRequest request = ClientRequest
			.builder("p", new Address("127.0.0.1", 1), new BasicHttpRequest("GET", "/x"))
			.build();
		FullReplyCall.start(this.caller, new EmbeddedChannel().eventLoop(), request, 1_000, this.outcomes::add);
	}

	private ReplyListener listener() {
		ReplyListener listener = this.caller.listener;
		assertTrue(listener != null);
		return listener;
	}

	// Guards against a heap that is filled by one reply.
	@Test
	void anEndlessBodyExceedsTheLimitAndCancelsTheCall() {
		listener().onHead(new BasicHttpResponse(200));
		int sent = 0;
		while (this.outcomes.isEmpty() && sent < MAX_SENT_BYTES) {
			listener().onBody(new byte[PART_BYTES]);
			sent += PART_BYTES;
		}
		assertEquals(this.outcomes.size(), 1, "outcomes after " + sent + " bytes");
		assertEquals(this.outcomes.get(0).getLeft().kind().toString(), "LIMIT_EXCEEDED");
		assertTrue(this.caller.cancelled);
	}

	/** Makes no calls and keeps the listener of the last one. */
	private static final class RecordingCaller implements HttpCaller {

		private @Nullable ReplyListener listener;

		private final ReceiveLimits limits = new ReceiveLimits(MessageLimits.builder().build(),
				new HeldBytes(MAX_SENT_BYTES));

		private boolean cancelled;

		@Override
		public ReceiveLimits receiveLimits() {
			return this.limits;
		}

		@Override
		public Call call(ClientRequest request, ReplyListener replyListener) {
			this.listener = replyListener;
			return new Call() {

				@Override
				public void cancel() {
					RecordingCaller.this.cancelled = true;
				}

				@Override
				public void setPaused(boolean paused) {
					// Nothing is read.
				}

			};
		}

	}

}
