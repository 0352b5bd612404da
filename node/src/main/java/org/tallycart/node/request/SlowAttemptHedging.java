package org.tallycart.node.request;

import java.util.Optional;

import org.jspecify.annotations.Nullable;
import org.tallycart.core.attempt.HedgeDelay;
import org.tallycart.core.attempt.HedgeDenial;
import org.tallycart.runtime.event.EventCode;

/**
 * Hedges a request within the operators' limits once its attempt is slower than most
 * others of its route.
 * <p>
 * Invariant: a hedge that was started is counted once as won or lost, and one that was
 * acquired and not started is returned. Not thread-safe: confined to the event loop.
 */
final class SlowAttemptHedging implements RequestHedging {

	private final ServingContext context;

	private final RequestPlan plan;

	private final HedgeControl control;

	private Optional<HedgeDelay> delay = Optional.empty();

	private @Nullable Attempt first;

	private @Nullable Attempt hedge;

	private boolean acquired;

	private boolean denied;

	SlowAttemptHedging(ServingContext context, RequestPlan plan) {
		this.context = context;
		this.plan = plan;
		this.control = context.hedges();
	}

	private long now() {
		return this.context.loop().nowMs();
	}

	@Override
	public void onSend(Attempt attempt, boolean isFirst, boolean begun) {
		if (isFirst) {
			this.first = attempt;
			this.control.onFirstAttempt(this.plan.service());
		}
		if (this.acquired) {
			this.acquired = false;
			this.control.onSent(this.plan.service());
			this.hedge = attempt;
			this.context.metrics().onHedge("started", this.plan.route().name());
			log(EventCode.HEDGE_STARTED, attempt);
		}
		else if (!begun) {
			this.delay = this.control.delay(this.plan);
			this.delay.ifPresent((known) -> attempt.reportSlow(known.afterMs(), known.retryMs()));
		}
	}

	@Override
	public boolean tryBegin(Attempt slow, int attemptCount, UpstreamPicker picker) {
		Optional<HedgeDenial> denial = denial(attemptCount, picker)
			.or(() -> this.control.tryAcquire(this.plan.service()));
		if (denial.isPresent()) {
			onDenied(slow, denial.get());
			return false;
		}
		this.acquired = true;
		return true;
	}

	private Optional<HedgeDenial> denial(int attemptCount, UpstreamPicker picker) {
		if (attemptCount >= this.plan.route().maxAttempts()) {
			return Optional.of(HedgeDenial.MAX_ATTEMPTS);
		}
		long typicalMs = this.delay.map(HedgeDelay::typicalMs).orElse(0L);
		if (now() + typicalMs + RequestFlow.RESPONSE_MARGIN_MS > this.plan.firstEventDeadlineMs()) {
			return Optional.of(HedgeDenial.DEADLINE);
		}
		return picker.slowHedgeDenial();
	}

	// Logged and counted once a request, though it may be denied several times.
	private void onDenied(Attempt slow, HedgeDenial denial) {
		if (!this.denied) {
			this.denied = true;
			this.context.metrics().onHedgeDenied(denial, this.plan.route().name());
			this.context.log()
				.request(EventCode.HEDGE_DENIED, this.plan.request().id(), "route", this.plan.route().name(), "slow",
						slow.upstream().entry().id(), "waited_ms", slow.elapsedMs(), "reason", denial);
		}
	}

	@Override
	public void onNotSent(String reason) {
		if (this.acquired) {
			this.acquired = false;
			this.control.refund(this.plan.service());
			this.context.log()
				.request(EventCode.HEDGE_DENIED, this.plan.request().id(), "route", this.plan.route().name(), "reason",
						reason);
		}
	}

	@Override
	public void onFirstAnswer(Attempt answered) {
		recordWait(answered);
	}

	@Override
	public void onAnswered(Attempt answered, Optional<Attempt> other) {
		other.ifPresent(this::recordWait);
		Attempt made = this.hedge;
		if (made != null) {
			this.hedge = null;
			onHedgeEnded(made, made == answered);
			other.filter((lost) -> made == answered).ifPresent(this::countAsInFlight);
		}
	}

	private void countAsInFlight(Attempt lost) {
		lost.upstream().onSend(0);
		this.context.loop().schedule(HedgeDelay.countedMs(lost.elapsedMs()), lost.upstream()::onEnd);
	}

	private void recordWait(Attempt attempt) {
		if (attempt == this.first) {
			this.first = null;
			this.control.onWaited(this.plan, attempt.elapsedMs());
		}
	}

	@Override
	public void onEnded(Attempt ended) {
		if (ended == this.hedge) {
			this.hedge = null;
			onHedgeEnded(ended, false);
		}
	}

	private void onHedgeEnded(Attempt made, boolean won) {
		this.context.metrics().onHedge(won ? "won" : "lost", this.plan.route().name());
		log(won ? EventCode.HEDGE_WON : EventCode.HEDGE_LOST, made);
	}

	private void log(EventCode code, Attempt made) {
		this.context.log()
			.request(code, this.plan.request().id(), "route", this.plan.route().name(), "upstream",
					made.upstream().entry().id(), "domain", made.upstream().entry().failureDomain(), "took_ms",
					made.elapsedMs(), "after_ms", this.delay.map(HedgeDelay::afterMs).orElse(0L));
	}

}
