package org.tallycart.http.event;

import java.util.List;

import org.apache.hc.core5.http.HttpResponse;

/**
 * Records how replies end, as text; skips replies with the field {@code Foreign}.
 * <p>
 * Not thread-safe: confined to the event loop of its connection.
 */
class OutcomeListener implements ReplyListener {

	private final List<String> outcomes;

	OutcomeListener(List<String> outcomes) {
		this.outcomes = outcomes;
	}

	final void record(String outcome) {
		this.outcomes.add(outcome);
	}

	@Override
	public final boolean onHead(HttpResponse head) {
		return !head.containsHeader("Foreign");
	}

	@Override
	public void onBody(byte[] part) {
		// Only outcomes are recorded.
	}

	@Override
	public void onEnd(ReplyEnd end) {
		record(end.toString());
	}

	@Override
	public void onFailure(CallFailure failure) {
		record(failure.kind().toString());
	}

}
