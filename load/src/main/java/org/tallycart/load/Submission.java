package org.tallycart.load;

/**
 * One request as a caller submits it.
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

	private final String key;

	private final boolean first;

	private final String prefix;

	private Submission(Builder builder) {
		this.pipeline = builder.pipeline;
		this.workspace = builder.workspace;
		this.label = builder.label;
		this.marker = builder.marker;
		this.deadlineMs = builder.deadlineMs;
		this.maxTokens = builder.maxTokens;
		this.stream = builder.stream;
		this.key = builder.key;
		this.first = builder.first;
		this.prefix = builder.prefix;
	}

	/**
	 * Begin a submission.
	 * @param pipeline the pipeline
	 * @param workspace the workspace
	 * @param marker a text that no other request holds
	 * @return a builder
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
	 * @return the key; empty if the request may be repeated
	 */
	public String idempotencyKey() {
		return this.key;
	}

	boolean isFirstSubmission() {
		return this.first;
	}

	String input() {
		return this.prefix + "What can take the place of it? [#" + this.marker + "]";
	}

	/**
	 * Return the same request as a later submission of its key.
	 * @return the copy
	 */
	public Submission resubmission() {
		return copy().idempotencyKey(this.key).firstSubmission(false).build();
	}

	private Builder copy() {
		return new Builder(this.pipeline, this.workspace, this.marker).label(this.label)
			.deadlineMs(this.deadlineMs)
			.maxTokens(this.maxTokens)
			.stream(this.stream)
			.prefix(this.prefix);
	}

	/**
	 * Return the same request with a new key, after an answer that it truly did not run.
	 * @param newKey the key
	 * @return the copy
	 */
	public Submission withNewKey(String newKey) {
		return copy().idempotencyKey(newKey).firstSubmission(true).build();
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

		private String key = "";

		private boolean first = true;

		private String prefix = "";

		private Builder(String pipeline, String workspace, String marker) {
			this.pipeline = pipeline;
			this.workspace = workspace;
			this.marker = marker;
		}

		/**
		 * Set the label of the kind of work.
		 * @param value the label
		 * @return this builder
		 */
		public Builder label(String value) {
			this.label = value;
			return this;
		}

		/**
		 * Set the deadline.
		 * @param value milliseconds
		 * @return this builder
		 */
		public Builder deadlineMs(long value) {
			this.deadlineMs = value;
			return this;
		}

		/**
		 * Set how many tokens are wanted.
		 * @param value the number
		 * @return this builder
		 */
		public Builder maxTokens(int value) {
			this.maxTokens = value;
			return this;
		}

		/**
		 * Set whether the answer is to be streamed.
		 * @param value true for a stream
		 * @return this builder
		 */
		public Builder stream(boolean value) {
			this.stream = value;
			return this;
		}

		/**
		 * Set the idempotency key of a request that may not be repeated.
		 * @param value the key
		 * @return this builder
		 */
		public Builder idempotencyKey(String value) {
			this.key = value;
			return this;
		}

		/**
		 * Set whether this is the key's first submission.
		 * @param value true if it is
		 * @return this builder
		 */
		public Builder firstSubmission(boolean value) {
			this.first = value;
			return this;
		}

		/**
		 * Set a text that comes before the question, for requests that share one.
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
