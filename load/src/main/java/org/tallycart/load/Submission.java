package org.tallycart.load;

/**
 * Request as a caller submits it.
 * <p>
 * Immutable and thread-safe. Built by {@link #builder}.
 *
 * @since 0.1
 */
public final class Submission {

	private final String pipeline;

	private final String workspace;

	private final String label;

	private final String marker;

	private final long deadlineMs;

	private final int maxTokens;

	private final boolean stream;

	private final String idempotencyKey;

	private final boolean firstSubmission;

	private final String prefix;

	private Submission(Builder builder) {
		this.pipeline = builder.pipeline;
		this.workspace = builder.workspace;
		this.label = builder.label;
		this.marker = builder.marker;
		this.deadlineMs = builder.deadlineMs;
		this.maxTokens = builder.maxTokens;
		this.stream = builder.stream;
		this.idempotencyKey = builder.idempotencyKey;
		this.firstSubmission = builder.firstSubmission;
		this.prefix = builder.prefix;
	}

	/**
	 * Create a builder of a submission.
	 * @param pipeline the pipeline
	 * @param workspace the workspace
	 * @param marker a text that is unique to this request
	 * @return the builder
	 */
	public static Builder builder(String pipeline, String workspace, String marker) {
		return new Builder(pipeline, workspace, marker);
	}

	String pipeline() {
		return this.pipeline;
	}

	String workspace() {
		return this.workspace;
	}

	String label() {
		return this.label;
	}

	String marker() {
		return this.marker;
	}

	long deadlineMs() {
		return this.deadlineMs;
	}

	int maxTokens() {
		return this.maxTokens;
	}

	boolean stream() {
		return this.stream;
	}

	/**
	 * Return the idempotency key.
	 * @return the key; empty if the request is repeatable
	 */
	public String idempotencyKey() {
		return this.idempotencyKey;
	}

	boolean isFirstSubmission() {
		return this.firstSubmission;
	}

	String input() {
		return this.prefix + "What can take the place of it? [#" + this.marker + "]";
	}

	/**
	 * Return a resubmission of this request with the same key.
	 * @return the copy
	 */
	public Submission resubmission() {
		return toBuilder().idempotencyKey(this.idempotencyKey).firstSubmission(false).build();
	}

	private Builder toBuilder() {
		return new Builder(this.pipeline, this.workspace, this.marker).label(this.label)
			.deadlineMs(this.deadlineMs)
			.maxTokens(this.maxTokens)
			.stream(this.stream)
			.prefix(this.prefix);
	}

	/**
	 * Return this request with a new key. Safe only after the outcome NOT_RUN.
	 * @param newKey the key
	 * @return the copy
	 */
	public Submission withNewKey(String newKey) {
		return toBuilder().idempotencyKey(newKey).firstSubmission(true).build();
	}

	/** Builds a submission. Not thread-safe. */
	public static final class Builder {

		private final String pipeline;

		private final String workspace;

		private final String marker;

		private String label = "";

		private long deadlineMs = 11_000;

		private int maxTokens = 16;

		private boolean stream;

		private String idempotencyKey = "";

		private boolean firstSubmission = true;

		private String prefix = "";

		private Builder(String pipeline, String workspace, String marker) {
			this.pipeline = pipeline;
			this.workspace = workspace;
			this.marker = marker;
		}

		/**
		 * Set the label, which policies can read.
		 * @param value the label
		 * @return this builder
		 */
		public Builder label(String value) {
			this.label = value;
			return this;
		}

		/**
		 * Set the deadline.
		 * @param value milliseconds from the submission
		 * @return this builder
		 */
		public Builder deadlineMs(long value) {
			this.deadlineMs = value;
			return this;
		}

		/**
		 * Set the maximum number of tokens to generate.
		 * @param value the number
		 * @return this builder
		 */
		public Builder maxTokens(int value) {
			this.maxTokens = value;
			return this;
		}

		/**
		 * Set whether the response is streamed.
		 * @param value true for a stream
		 * @return this builder
		 */
		public Builder stream(boolean value) {
			this.stream = value;
			return this;
		}

		/**
		 * Set the idempotency key. A request with a key is submitted as not repeatable.
		 * @param value the key
		 * @return this builder
		 */
		public Builder idempotencyKey(String value) {
			this.idempotencyKey = value;
			return this;
		}

		/**
		 * Set whether this is the first submission of the key.
		 * @param value true for the first submission
		 * @return this builder
		 */
		public Builder firstSubmission(boolean value) {
			this.firstSubmission = value;
			return this;
		}

		/**
		 * Set a text to precede the question, so that requests can share a prompt prefix.
		 * @param value the text
		 * @return this builder
		 */
		public Builder prefix(String value) {
			this.prefix = value;
			return this;
		}

		/**
		 * Build the submission.
		 * @return the submission
		 */
		public Submission build() {
			return new Submission(this);
		}

	}

}
