package org.tallycart.node.request;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntSupplier;

import org.tallycart.core.attempt.HedgeDelay;
import org.tallycart.core.attempt.HedgeDelays;
import org.tallycart.core.attempt.HedgeDenial;
import org.tallycart.core.attempt.HedgeLimits;
import org.tallycart.core.serving.NodeSettings;
import org.tallycart.core.serving.Prompt;
import org.tallycart.core.upstream.HedgeBudget;
import org.tallycart.node.EventLoop;

/**
 * The hedges of all requests: what is learnt of routes, and what services may still be
 * sent.
 * <p>
 * Not thread-safe: confined to the event loop.
 *
 * @since 0.1
 */
public final class HedgeControl {

	private final HedgeLimits limits;

	private final RetryBudgets retryBudgets;

	private final EventLoop loop;

	private final IntSupplier vmCount;

	private final long startedMs;

	private final HedgeDelays delays = new HedgeDelays();

	private final Map<String, HedgeBudget> budgets = new HashMap<>();

	private long windowMs;

	/**
	 * Create a control.
	 * @param limits the operators' limits
	 * @param platformLimits the limits of retries, whose window is used
	 * @param retryBudgets the retry budgets, which hedges are charged to
	 * @param loop the event loop
	 * @param vmCount supplies the number of VMs that share the limits; 0 if unknown
	 */
	public HedgeControl(HedgeLimits limits, NodeSettings.PlatformLimits platformLimits, RetryBudgets retryBudgets,
			EventLoop loop, IntSupplier vmCount) {
		this.limits = limits;
		this.retryBudgets = retryBudgets;
		this.loop = loop;
		this.vmCount = vmCount;
		this.startedMs = loop.nowMs();
		this.windowMs = platformLimits.retryWindowMs();
	}

	/**
	 * Replace the platform's limits. What was counted still counts.
	 * @param changed the limits
	 */
	public void update(NodeSettings.PlatformLimits changed) {
		this.windowMs = changed.retryWindowMs();
		this.budgets.values().forEach((budget) -> budget.updateWindow(this.windowMs, this.loop.nowMs()));
	}

	/** Record how many VMs there are. To be called several times a second. */
	public void refresh() {
		this.budgets.values().forEach((budget) -> budget.observe(this.vmCount.getAsInt(), this.loop.nowMs()));
	}

	/**
	 * Return what hedges a request.
	 * @param context the dependencies of all requests
	 * @param plan the plan of the request
	 * @return the hedging of the request
	 */
	RequestHedging forRequest(ServingContext context, RequestPlan plan) {
		return this.limits.covers(plan.route()) ? new SlowAttemptHedging(context, plan) : RequestHedging.NONE;
	}

	void onFirstAttempt(String service) {
		budget(service).onFirstAttempt(this.loop.nowMs());
	}

	void onWaited(RequestPlan plan, long ms) {
		this.delays.record(plan.route(), promptTokens(plan), ms, this.loop.nowMs());
	}

	Optional<HedgeDelay> delay(RequestPlan plan) {
		return this.delays.delay(plan.route(), promptTokens(plan), this.loop.nowMs());
	}

	private static int promptTokens(RequestPlan plan) {
		return plan.request().prompt().map(Prompt::promptTokens).orElse(0);
	}

	Optional<HedgeDenial> tryAcquire(String service) {
		return budget(service).tryAcquire(this.retryBudgets.budget(service), this.vmCount.getAsInt(),
				this.loop.nowMs());
	}

	/**
	 * Record that a hedge that was acquired is sent; its retry is recorded separately.
	 * @param service the service
	 */
	void onSent(String service) {
		budget(service).onSent(this.loop.nowMs());
	}

	/**
	 * Return a hedge that was acquired and is not sent; its retry is returned separately.
	 * @param service the service
	 */
	void refund(String service) {
		budget(service).refund();
	}

	private HedgeBudget budget(String service) {
		return this.budgets.computeIfAbsent(service,
				(key) -> new HedgeBudget(this.limits.share(), this.windowMs, this.limits.burst(), this.startedMs));
	}

}
