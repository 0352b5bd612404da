package org.tallycart.core.pool;

import java.util.List;

import org.tallycart.core.crash.Fingerprint;

/**
 * A piece that someone asks a pool for.
 *
 * @param id names the piece
 * @param fingerprint what names the request whatever its id
 * @param service the pool
 * @param key what it is made from, where it has no inputs
 * @param inputs handles of what it is made from; empty where it has a key
 * @param deadlineMs when its result is useless, on the steady clock
 * @param objectiveMs when its result has to be there for the request to be on time, what
 * comes after it included
 * @param priority the request's rank; 0 is the most urgent
 * @param failureDomain where its result is wanted
 * @param resultBytes the approximate size of its result
 * @param colocated whether its stage's results are read together, so that they are better
 * made at one worker
 * @param crossDomainBytes what crosses failure domains if it is made in another one: its
 * inputs, or its result
 * @since 0.1
 */
public record PieceJob(PieceId id, Fingerprint fingerprint, String service, String key, List<String> inputs,
		long deadlineMs, long objectiveMs, int priority, String failureDomain, long resultBytes, boolean colocated,
		long crossDomainBytes) {

	/** Moving this much is worth a wait, in bytes; less costs next to nothing. */
	static final long MUCH_MOVED_BYTES = 200_000;

	// Whether its inputs fill their makers' room, so that other work waits until they are
	// read.
	boolean inputsHoldRoom() {
		return !this.inputs.isEmpty() && this.crossDomainBytes >= MUCH_MOVED_BYTES;
	}

	/**
	 * Describe a piece.
	 * @param id names it
	 * @param service the pool
	 * @return a builder; what it is not told is empty, zero or false
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

		private Builder(PieceId id, String service) {
			this.id = id;
			this.service = service;
		}

		/**
		 * Tell which request it belongs to.
		 * @param request what names the request whatever its id
		 * @return this builder
		 */
		public Builder fingerprint(Fingerprint request) {
			this.fingerprint = request;
			return this;
		}

		/**
		 * Tell what the piece is made from.
		 * @param pieceKey the request's key, used where there are no inputs
		 * @param handles results of the stages before it
		 * @return this builder
		 */
		public Builder source(String pieceKey, List<String> handles) {
			this.key = pieceKey;
			this.inputs = handles;
			return this;
		}

		/**
		 * Tell when the result is needed.
		 * @param byMs for the request to be on time, on the steady clock
		 * @param uselessFromMs for it to be of any use, on the steady clock
		 * @return this builder
		 */
		public Builder dueBy(long byMs, long uselessFromMs) {
			this.objectiveMs = byMs;
			this.deadlineMs = uselessFromMs;
			return this;
		}

		/**
		 * Tell how urgent the request is.
		 * @param rank its rank; 0 is the most urgent
		 * @return this builder
		 */
		public Builder priority(int rank) {
			this.priority = rank;
			return this;
		}

		/**
		 * Tell where the result is wanted.
		 * @param domain the failure domain
		 * @param bytes what crosses failure domains if it is made in another one
		 * @return this builder
		 */
		public Builder preferredDomain(String domain, long bytes) {
			this.failureDomain = domain;
			this.crossDomainBytes = bytes;
			return this;
		}

		/**
		 * Tell of the result.
		 * @param bytes its approximate size
		 * @param readTogether whether its stage's results are read together
		 * @return this builder
		 */
		public Builder result(long bytes, boolean readTogether) {
			this.resultBytes = bytes;
			this.colocated = readTogether;
			return this;
		}

		/**
		 * Build the piece.
		 * @return the piece
		 */
		public PieceJob build() {
			return new PieceJob(this.id, this.fingerprint, this.service, this.key, this.inputs, this.deadlineMs,
					this.objectiveMs, this.priority, this.failureDomain, this.resultBytes, this.colocated,
					this.crossDomainBytes);
		}

	}

}
