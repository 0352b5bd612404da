package org.tallycart.http.event;

/**
 * Limits on received messages. A message of exactly a limit is accepted.
 * <p>
 * Immutable and thread-safe.
 *
 * @param headBytes the maximum size of a head, in bytes
 * @param headLines the maximum number of fields of a head, and of trailers
 * @param framingBytes the maximum size of the framing of a chunked body, in bytes; see
 * {@link #maxFramingBytes(long)}
 * @param precedingReplies the maximum number of informational replies, and replies to
 * other calls, before the reply to a call
 * @param skippedBytes the maximum size of the bodies of replies to other calls that a
 * call skips, in bytes
 * @param eventBytes the maximum size of an event of a stream, with the comments and blank
 * lines before it, in bytes
 * @param replyBytes the maximum size of the body of a reply that is read fully, in bytes
 * @since 0.1
 */
public record MessageLimits(int headBytes, int headLines, int framingBytes, int precedingReplies, int skippedBytes,
		int eventBytes, int replyBytes) {

	/**
	 * Bytes of framing allowed for each byte of content. A chunk of one byte has a
	 * framing of five.
	 */
	private static final int FRAMING_FACTOR = 8;

	/**
	 * Create a builder with the defaults.
	 * @return a builder
	 */
	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Return the maximum size of the framing of a chunked body.
	 * @param contentBytes the content received so far, in bytes
	 * @return the maximum in bytes
	 */
	long maxFramingBytes(long contentBytes) {
		return this.framingBytes + FRAMING_FACTOR * contentBytes;
	}

	/**
	 * Builder of {@link MessageLimits}. Not thread-safe.
	 */
	public static final class Builder {

		private static final int DEFAULT_HEAD_BYTES = 64 << 10;

		private static final int DEFAULT_HEAD_LINES = 1_000;

		private static final int DEFAULT_FRAMING_BYTES = 64 << 10;

		private static final int DEFAULT_PRECEDING_REPLIES = 16;

		private static final int DEFAULT_SKIPPED_BYTES = 4 << 20;

		private static final int DEFAULT_EVENT_BYTES = 4 << 20;

		private static final int DEFAULT_REPLY_BYTES = 4 << 20;

		private int headBytes = DEFAULT_HEAD_BYTES;

		private int headLines = DEFAULT_HEAD_LINES;

		private int framingBytes = DEFAULT_FRAMING_BYTES;

		private int precedingReplies = DEFAULT_PRECEDING_REPLIES;

		private int skippedBytes = DEFAULT_SKIPPED_BYTES;

		private int eventBytes = DEFAULT_EVENT_BYTES;

		private int replyBytes = DEFAULT_REPLY_BYTES;

		private Builder() {
		}

		/**
		 * Set the maximum size of a head.
		 * @param bytes the size in bytes; 64 KB by default
		 * @return this builder
		 */
		public Builder headBytes(int bytes) {
			this.headBytes = bytes;
			return this;
		}

		/**
		 * Set the maximum number of fields of a head, and of trailers.
		 * @param count the number; 1,000 by default
		 * @return this builder
		 */
		public Builder headLines(int count) {
			this.headLines = count;
			return this;
		}

		/**
		 * Set the maximum size of the framing of a chunked body, to which eight bytes are
		 * added for each byte of its content.
		 * @param bytes the size in bytes; 64 KB by default
		 * @return this builder
		 */
		public Builder framingBytes(int bytes) {
			this.framingBytes = bytes;
			return this;
		}

		/**
		 * Set the maximum number of replies before the reply to a call.
		 * @param count the number; 16 by default
		 * @return this builder
		 */
		public Builder precedingReplies(int count) {
			this.precedingReplies = count;
			return this;
		}

		/**
		 * Set the maximum size of the bodies of replies to other calls.
		 * @param bytes the size in bytes; 4 MB by default
		 * @return this builder
		 */
		public Builder skippedBytes(int bytes) {
			this.skippedBytes = bytes;
			return this;
		}

		/**
		 * Set the maximum size of an event.
		 * @param bytes the size in bytes; 4 MB by default
		 * @return this builder
		 */
		public Builder eventBytes(int bytes) {
			this.eventBytes = bytes;
			return this;
		}

		/**
		 * Set the maximum size of the body of a reply that is read fully.
		 * @param bytes the size in bytes; 4 MB by default
		 * @return this builder
		 */
		public Builder replyBytes(int bytes) {
			this.replyBytes = bytes;
			return this;
		}

		/**
		 * Build the limits.
		 * @return the limits
		 */
		public MessageLimits build() {
			return new MessageLimits(this.headBytes, this.headLines, this.framingBytes, this.precedingReplies,
					this.skippedBytes, this.eventBytes, this.replyBytes);
		}

	}

}
