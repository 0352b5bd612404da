package org.tallycart.node.request;

import java.util.List;
import java.util.Optional;

import org.tallycart.core.outcome.UncaughtErrorReporter;
import org.tallycart.core.pool.PieceOutcome;
import org.tallycart.core.serving.UpstreamReply;
import org.tallycart.core.upstream.UpstreamChoice;
import org.tallycart.http.event.ReplyEnd;

/**
 * Passes the callbacks of a request's stages, picks and attempts on to it, and ends the
 * request if one of them fails unexpectedly; it would be answered at its deadline
 * otherwise.
 * <p>
 * Invariant: no callback throws. Not thread-safe: confined to the event loop.
 */
final class GuardedCallbacks implements StageExecution.Listener, UpstreamPicker.Listener, Attempt.Listener {

	private final RequestFlow flow;

	GuardedCallbacks(RequestFlow flow) {
		this.flow = flow;
	}

	/**
	 * Run a step of the request.
	 * @param step the step
	 */
	void run(Runnable step) {
		try {
			step.run();
		}
		catch (Exception | Error ex) {
			this.flow.onHandlingFailed();
			UncaughtErrorReporter.report(ex);
		}
	}

	@Override
	public void onStagesCompleted(List<String> inputs) {
		run(() -> this.flow.onStagesCompleted(inputs));
	}

	@Override
	public void onStagesFailed(PieceOutcome outcome) {
		run(() -> this.flow.onStagesFailed(outcome));
	}

	@Override
	public void onPicked(UpstreamChoice choice) {
		run(() -> this.flow.onPicked(choice));
	}

	@Override
	public void onNoUpstream() {
		run(this.flow::onNoUpstream);
	}

	@Override
	public boolean onSilent(Attempt attempt) {
		try {
			return this.flow.onSilent(attempt);
		}
		catch (Exception | Error ex) {
			this.flow.onHandlingFailed();
			UncaughtErrorReporter.report(ex);
			return false;
		}
	}

	@Override
	public void onSlow(Attempt attempt) {
		run(() -> this.flow.onSlow(attempt));
	}

	@Override
	public void onHeard(Attempt attempt) {
		run(() -> this.flow.onHeard(attempt));
	}

	@Override
	public void onStreamHead(Attempt attempt, UpstreamReply head) {
		run(() -> this.flow.onStreamHead(attempt, head));
	}

	@Override
	public void onComments(Attempt attempt, byte[] comments) {
		run(() -> this.flow.onComments(attempt, comments));
	}

	@Override
	public void onEvents(Attempt attempt, UpstreamReply head, byte[] events, Optional<String> lastId) {
		run(() -> this.flow.onEvents(attempt, head, events, lastId));
	}

	@Override
	public void onStreamEnd(Attempt attempt, UpstreamReply head, byte[] remainder, ReplyEnd end) {
		run(() -> this.flow.onStreamEnd(attempt, head, remainder, end));
	}

	@Override
	public void onReply(Attempt attempt, UpstreamReply head, byte[] body, ReplyEnd end) {
		run(() -> this.flow.onReply(attempt, head, body, end));
	}

	@Override
	public void onAttemptFailed(Attempt attempt, AttemptFailure failure) {
		run(() -> this.flow.onAttemptFailed(attempt, failure));
	}

}
