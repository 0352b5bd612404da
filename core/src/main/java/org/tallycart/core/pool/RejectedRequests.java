package org.tallycart.core.pool;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.tallycart.core.crash.Fingerprint;

/**
 * Requests that a pool rejected recently, and the times at which they may return.
 * <p>
 * Callers return at another VM under another request id, so a request is recognised by
 * its fingerprint. One rejection is good for one return: other requests with the same
 * content are new ones.
 * <p>
 * Invariants: at most {@link #MAX_REQUESTS} requests are remembered, the latest ones, and
 * none for longer than {@link #MEMORY_MS}; a return time is at most {@link #MAX_RETRY_MS}
 * away; the pieces of one request get the same return time. Not thread-safe: guarded by
 * {@link PoolDispatcher}.
 */
final class RejectedRequests {

	/** Time for which a rejection is remembered, in milliseconds. */
	static final long MEMORY_MS = 10_000;

	/**
	 * Bound of the remembered requests: the rejections of 10 s at 800 requests a second.
	 */
	static final int MAX_REQUESTS = 8_192;

	/** Upper bound of a return time, in milliseconds from the rejection. */
	static final long MAX_RETRY_MS = 3_000;

	/**
	 * Least interval over which return times are spread before they start over, in
	 * milliseconds.
	 */
	private static final long MIN_SPREAD_MS = 1_000;

	// The oldest first.
	private final Map<String, Rejection> rejections = new LinkedHashMap<>();

	// The next free return time by priority, on the monotonic clock, in milliseconds.
	private final TreeMap<Integer, Double> nextReturnMs = new TreeMap<>();

	private final List<PendingPiece> submitted = new ArrayList<>();

	/**
	 * Add a submitted piece, which the next {@link #update} examines.
	 * @param piece the piece
	 */
	void onSubmitted(PendingPiece piece) {
		if (!piece.job().fingerprint().equals(Fingerprint.NONE)) {
			this.submitted.add(piece);
		}
	}

	/**
	 * Forget old rejections, and mark the submitted pieces whose requests have returned.
	 * @param nowMs current time on the monotonic clock, in milliseconds
	 * @return the pieces by which a return was recognised, one for each request
	 */
	List<PendingPiece> update(long nowMs) {
		Iterator<Rejection> oldest = this.rejections.values().iterator();
		while (oldest.hasNext() && oldest.next().atMs < nowMs - MEMORY_MS) {
			oldest.remove();
		}
		if (this.submitted.isEmpty()) {
			return List.of();
		}
		List<PendingPiece> returned = new ArrayList<>();
		for (PendingPiece piece : this.submitted) {
			Rejection rejection = this.rejections.get(key(piece.job()));
			if (rejection != null && rejection.isReturn(piece.job().id().requestId())) {
				piece.markReturned();
				if (rejection.accept(piece.job().id().requestId())) {
					returned.add(piece);
				}
			}
		}
		this.submitted.clear();
		return returned;
	}

	/**
	 * Remember the rejection of a piece's request, and assign its return time. Further
	 * pieces of the request get the same time, and move that of the next request.
	 * @param job the piece
	 * @param drain the time in which the remaining queue is worked off
	 * @param nowMs current time on the monotonic clock, in milliseconds
	 * @return the time until the request should return, in milliseconds
	 */
	long reject(PieceJob job, QueueDrain drain, long nowMs) {
		String id = job.id().requestId();
		Rejection known = this.rejections.get(key(job));
		if (known != null && known.requestId.equals(id) && known.returnMs > nowMs) {
			this.nextReturnMs.merge(job.priority(), drain.pieceMs(), Double::sum);
			return known.returnMs - nowMs;
		}
		long returnMs = (long) Math.ceil(takeReturnTime(job.priority(), drain, nowMs));
		this.rejections.remove(key(job));
		this.rejections.put(key(job), new Rejection(id, nowMs, returnMs));
		if (this.rejections.size() > MAX_REQUESTS) {
			Iterator<Rejection> oldest = this.rejections.values().iterator();
			oldest.next();
			oldest.remove();
		}
		return returnMs - nowMs;
	}

	// Times start over at the earliest one if the next would be too late. A priority
	// whose
	// next time is too late does not count for less urgent ones, which would all get the
	// earliest time.
	private double takeReturnTime(int priority, QueueDrain drain, long nowMs) {
		double earliestMs = nowMs + Math.min(drain.drainMs(priority), MAX_RETRY_MS - MIN_SPREAD_MS);
		double nextMs = this.nextReturnMs.headMap(priority, true)
			.values()
			.stream()
			.mapToDouble(Double::doubleValue)
			.filter((timeMs) -> timeMs <= nowMs + MAX_RETRY_MS)
			.max()
			.orElse(earliestMs);
		double returnMs = Math.max(nextMs, earliestMs);
		this.nextReturnMs.put(priority, returnMs + drain.pieceMs());
		return returnMs;
	}

	private static String key(PieceJob job) {
		return job.fingerprint().equals(Fingerprint.NONE) ? job.id().requestId() : job.fingerprint().value();
	}

	/**
	 * Return the number of remembered requests.
	 * @return the count
	 */
	int size() {
		return this.rejections.size();
	}

	/** Rejection of one request. */
	private static final class Rejection {

		private final String requestId;

		private final long atMs;

		private final long returnMs;

		// The id under which the request has returned; empty until then.
		private String returnedAs = "";

		Rejection(String requestId, long atMs, long returnMs) {
			this.requestId = requestId;
			this.atMs = atMs;
			this.returnMs = returnMs;
		}

		boolean isReturn(String id) {
			return !id.equals(this.requestId) && (this.returnedAs.isEmpty() || this.returnedAs.equals(id));
		}

		// Returns whether the request had not returned before.
		boolean accept(String id) {
			boolean first = this.returnedAs.isEmpty();
			this.returnedAs = id;
			return first;
		}

	}

}
