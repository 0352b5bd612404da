package org.tallycart.node.piece;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.tallycart.core.ini.Address;
import org.tallycart.core.upstream.UpstreamDirectory;
import org.tallycart.core.upstream.UpstreamState;
import org.tallycart.http.event.HttpClient;
import org.tallycart.http.event.HttpExchange;
import org.tallycart.http.event.WholeReplyCall;
import org.tallycart.node.EventLoop;
import org.tallycart.platform.http.PieceCodec;

/**
 * Gives results back to their makers, a few at a time. A maker drops results of its own
 * accord after some seconds, so a call that fails is not repeated.
 * <p>
 * Not thread-safe: belongs to the event loop.
 *
 * @since 0.1
 */
public final class ResultReleaser {

	/**
	 * How long results are collected for one call, in milliseconds: they hold room
	 * meanwhile.
	 */
	private static final long COLLECT_MS = 5;

	/**
	 * When a maker has the room again, in milliseconds: the collecting, and the way
	 * there.
	 */
	static final long ROOM_BACK_MS = COLLECT_MS + 4;

	/** Calls that take longer are given up, in milliseconds. */
	private static final long TIMEOUT_MS = 1_000;

	/**
	 * Results of a maker that rests for longer are not given back, in milliseconds: it
	 * drops them before that.
	 */
	private static final long LONGEST_HOLD_MS = 10_000;

	private final HttpClient http;

	private final EventLoop loop;

	private final UpstreamDirectory directory;

	private final Map<Address, List<String>> collected = new HashMap<>();

	/**
	 * Create an empty collection.
	 * @param http makes the calls
	 * @param loop the event loop
	 * @param directory knows which makers still exist
	 */
	public ResultReleaser(HttpClient http, EventLoop loop, UpstreamDirectory directory) {
		this.http = http;
		this.loop = loop;
		this.directory = directory;
	}

	/**
	 * Give results back.
	 * @param handles the results
	 */
	public void give(List<String> handles) {
		for (String handle : handles) {
			PieceCodec.maker(handle).peek((maker) -> collect(maker, handle));
		}
	}

	private void collect(Address maker, String handle) {
		if (this.collected.isEmpty()) {
			this.loop.schedule(COLLECT_MS, this::flush);
		}
		this.collected.computeIfAbsent(maker, (key) -> new ArrayList<>()).add(handle);
	}

	private void flush() {
		Map<Address, List<String>> all = new HashMap<>(this.collected);
		this.collected.clear();
		all.forEach(this::sendOrHold);
	}

	// A maker that rests wants no call of any kind; it gets no pieces meanwhile either,
	// so
	// nobody waits for the room.
	private void sendOrHold(Address maker, List<String> handles) {
		Optional<UpstreamState> present = this.directory.findByAddress(maker);
		if (present.isEmpty()) {
			return;
		}
		long restMs = this.directory.unavailability()
			.remainingBackoffMs(present.get().entry().incarnation(), this.loop.nowMs());
		if (restMs == 0) {
			send(present.get(), maker, handles);
		}
		else if (restMs <= LONGEST_HOLD_MS) {
			this.loop.schedule(restMs, () -> sendOrHold(maker, handles));
		}
	}

	private void send(UpstreamState present, Address maker, List<String> handles) {
		HttpExchange exchange = HttpExchange
			.to(present.entry().incarnation(), maker, PieceCodec.freeHead(present.entry()))
			.body(PieceCodec.freeBody(handles))
			.build();
		WholeReplyCall.start(this.http, this.loop.executor(), exchange, TIMEOUT_MS, (outcome) -> {
			// Lost or refused: the maker drops the results by itself.
		});
	}

}
