package org.tallycart.core.pool;

import java.util.List;

import org.tallycart.core.crash.Fingerprint;

/**
 * Describes a piece to be processed by a pool.
 *
 * @param id the id of the piece
 * @param fingerprint identifies the request independently of its id
 * @param service the name of the pool
 * @param key the request's key that the piece is computed from; empty if it has inputs
 * @param inputs handles of the results that the piece is computed from; empty if it has a
 * key
 * @param deadlineMs time from which the result is useless, on the monotonic clock
 * @param objectiveMs time by which the result is needed for the request to meet its
 * objective, on the monotonic clock; the stages that follow are accounted for
 * @param priority the request's priority; 0 is the most urgent
 * @param failureDomain the failure domain where the piece should be processed
 * @param resultBytes the approximate size of the result, in bytes
 * @param colocated whether the results of the stage are read together, so that its pieces
 * should be processed by the same worker
 * @param crossDomainBytes bytes transferred between failure domains, of the inputs or of
 * the result, if the piece is processed in another one
 * @param workspace the name of the request's workspace; empty if it has none
 * @since 0.1
 */
public record PieceJob(PieceId id, Fingerprint fingerprint, String service, String key, List<String> inputs,
		long deadlineMs, long objectiveMs, int priority, String failureDomain, long resultBytes, boolean colocated,
		long crossDomainBytes, String workspace) {

	/**
	 * Transfers of this size justify a wait for a worker in the preferred failure domain,
	 * in bytes.
	 */
	static final long LARGE_TRANSFER_BYTES = 200_000;

	// Returns true if the inputs are large, so that they hold back other work at their
	// workers until they are read.
	boolean hasLargeInputs() {
		return !this.inputs.isEmpty() && this.crossDomainBytes >= LARGE_TRANSFER_BYTES;
	}

	/**
	 * Create a builder.
	 * @param id the id of the piece
	 * @param service the name of the pool
	 * @return a builder whose other values are empty, zero or false
	 */
	public static Builder builder(PieceId id, String service) {
		return new Builder(id, service);
	}

	/**
	 * Builder for {@link PieceJob}. Not thread-safe.
	 */
	public static final class Builder {

		private final PieceId id;

		private final String service;

		private Fingerprint fingerprint = Fingerprint.NONE;

		private String key = "";

		private List<String> inputs = List.of();

		private long deadlineMs;

		private long objectiveMs;

		private int priority;

		private String failureDomain = "";

		private long resultBytes;

		private boolean colocated;

		private long crossDomainBytes;

		private String workspace = "";

		private Builder(PieceId id, String service) {
			this.id = id;
			this.service = service;
		}

		/**
		 * Set the fingerprint of the request.
		 * @param request identifies the request independently of its id
		 * @return this builder
		 */
		public Builder fingerprint(Fingerprint request) {
			this.fingerprint = request;
			return this;
		}

		/**
		 * Set the source that the piece is computed from.
		 * @param pieceKey the request's key, used if there are no inputs
		 * @param handles handles of the results of the preceding stages
		 * @return this builder
		 */
		public Builder source(String pieceKey, List<String> handles) {
			this.key = pieceKey;
			this.inputs = handles;
			return this;
		}

		/**
		 * Set the times by which the result is due.
		 * @param dueMs time by which the request's objective can be met, on the monotonic
		 * clock
		 * @param latestMs deadline from which the result is useless, on the monotonic
		 * clock
		 * @return this builder
		 */
		public Builder dueBy(long dueMs, long latestMs) {
			this.objectiveMs = dueMs;
			this.deadlineMs = latestMs;
			return this;
		}

		/**
		 * Set the request's priority.
		 * @param value the priority; 0 is the most urgent
		 * @return this builder
		 */
		public Builder priority(int value) {
			this.priority = value;
			return this;
		}

		/**
		 * Set the failure domain where the piece should be processed.
		 * @param domain the failure domain
		 * @param bytes bytes transferred between failure domains if another one is used
		 * @return this builder
		 */
		public Builder preferredDomain(String domain, long bytes) {
			this.failureDomain = domain;
			this.crossDomainBytes = bytes;
			return this;
		}

		/**
		 * Set the properties of the result.
		 * @param bytes its approximate size, in bytes
		 * @param readTogether whether the results of the stage are read together
		 * @return this builder
		 */
		public Builder result(long bytes, boolean readTogether) {
			this.resultBytes = bytes;
			this.colocated = readTogether;
			return this;
		}

		/**
		 * Set the workspace of the request.
		 * @param name the name of the workspace; empty if the request has none
		 * @return this builder
		 */
		public Builder workspace(String name) {
			this.workspace = name;
			return this;
		}

		/**
		 * Build the piece.
		 * @return the piece
		 */
		public PieceJob build() {
			return new PieceJob(this.id, this.fingerprint, this.service, this.key, this.inputs, this.deadlineMs,
					this.objectiveMs, this.priority, this.failureDomain, this.resultBytes, this.colocated,
					this.crossDomainBytes, this.workspace);
		}

	}

}
