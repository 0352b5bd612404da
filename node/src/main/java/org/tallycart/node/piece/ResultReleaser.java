package org.tallycart.node.piece;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.tallycart.core.ini.Address;
import org.tallycart.core.upstream.UpstreamDirectory;
import org.tallycart.core.upstream.UpstreamState;
import org.tallycart.http.event.ClientRequest;
import org.tallycart.http.event.FullReplyCall;
import org.tallycart.http.event.HttpCaller;
import org.tallycart.node.EventLoop;
import org.tallycart.platform.http.PieceCodec;

/**
 * Releases results at the workers that hold them, in batches. Workers expire results by
 * themselves after some seconds, so a failed call is not retried.
 * <p>
 * Not thread-safe: confined to the event loop.
 *
 * @since 0.1
 */
public final class ResultReleaser {

	/**
	 * Time for which results are collected into one call, in milliseconds; they occupy
	 * result memory meanwhile.
	 */
	private static final long BATCH_DELAY_MS = 5;

	/**
	 * Time until a worker's result memory is free, in milliseconds: the batch delay and
	 * the network latency.
	 */
	static final long RELEASE_DELAY_MS = BATCH_DELAY_MS + 4;

	/** Timeout of a release call, in milliseconds. */
	private static final long TIMEOUT_MS = 1_000;

	/**
	 * Longest backoff of a worker after which results are released, in milliseconds; by
	 * the end of a longer one the worker has expired them.
	 */
	private static final long MAX_DEFERRAL_MS = 10_000;

	private final HttpCaller http;

	private final EventLoop loop;

	private final UpstreamDirectory directory;

	private final Map<Address, List<String>> batches = new HashMap<>();

	/**
	 * Create a releaser.
	 * @param http makes calls to workers
	 * @param loop the event loop
	 * @param directory the workers that exist
	 */
	public ResultReleaser(HttpCaller http, EventLoop loop, UpstreamDirectory directory) {
		this.http = http;
		this.loop = loop;
		this.directory = directory;
	}

	/**
	 * Release results at their workers, asynchronously and without a guarantee.
	 * @param handles the handles of the results
	 */
	public void release(List<String> handles) {
		for (String handle : handles) {
			PieceCodec.workerAddress(handle).peek((worker) -> addToBatch(worker, handle));
		}
	}

	private void addToBatch(Address worker, String handle) {
		if (this.batches.isEmpty()) {
			this.loop.schedule(BATCH_DELAY_MS, this::flush);
		}
		this.batches.computeIfAbsent(worker, (key) -> new ArrayList<>()).add(handle);
	}

	private void flush() {
		Map<Address, List<String>> due = new HashMap<>(this.batches);
		this.batches.clear();
		due.forEach(this::sendOrDefer);
	}

	// A worker in backoff gets no call of any kind. It gets no pieces either, so nothing
	// waits for its result memory.
	private void sendOrDefer(Address worker, List<String> handles) {
		Optional<UpstreamState> state = this.directory.findByAddress(worker);
		if (state.isEmpty()) {
			return;
		}
		long backoffMs = this.directory.unavailability()
			.remainingBackoffMs(state.get().entry().incarnation(), this.loop.nowMs());
		if (backoffMs == 0) {
			send(state.get(), worker, handles);
		}
		else if (backoffMs <= MAX_DEFERRAL_MS) {
			this.loop.schedule(backoffMs, () -> sendOrDefer(worker, handles));
		}
	}

	private void send(UpstreamState state, Address worker, List<String> handles) {
		ClientRequest exchange = StageCalls
			.builder(state.entry(), worker, PieceCodec.releaseHead(state.entry(), StageCalls.newId()))
			.body(PieceCodec.releaseBody(handles))
			.build();
		FullReplyCall.start(this.http, this.loop.executor(), exchange, TIMEOUT_MS, (outcome) -> {
			// Nothing to do on failure: the worker expires the results by itself.
		});
	}

}
