package org.tallycart.node.request;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

import org.tallycart.core.serving.NodeSettings;
import org.tallycart.core.upstream.RetryUsage;
import org.tallycart.core.upstream.WindowedRetryBudget;
import org.tallycart.node.EventLoop;

/**
 * Retry budgets, one per service.
 * <p>
 * Not thread-safe: confined to the event loop.
 *
 * @since 0.1
 */
public final class RetryBudgets {

	private final EventLoop loop;

	private final IntSupplier vmCount;

	private final Map<String, WindowedRetryBudget> budgets = new HashMap<>();

	private final long startedMs;

	private NodeSettings.PlatformLimits limits;

	/**
	 * Create budgets.
	 * @param limits the limits of the budgets
	 * @param loop the event loop
	 * @param vmCount supplies the number of VMs that share the budgets; 0 if unknown
	 */
	public RetryBudgets(NodeSettings.PlatformLimits limits, EventLoop loop, IntSupplier vmCount) {
		this.limits = limits;
		this.loop = loop;
		this.vmCount = vmCount;
		this.startedMs = loop.nowMs();
	}

	/**
	 * Replace the limits. What was counted still counts.
	 * @param newLimits the limits
	 */
	public void update(NodeSettings.PlatformLimits newLimits) {
		this.limits = newLimits;
		this.budgets.values()
			.forEach((budget) -> budget.update(newLimits.retryRatio(), newLimits.retryWindowMs(),
					newLimits.retrySlack(), this.loop.nowMs()));
	}

	/** Record how many VMs there are. To be called several times a second. */
	public void refresh() {
		this.budgets.values().forEach((budget) -> budget.observe(this.vmCount.getAsInt(), this.loop.nowMs()));
	}

	void onArrival(String service) {
		budget(service).onArrival(this.loop.nowMs());
	}

	boolean tryAcquire(String service) {
		return budget(service).tryAcquire(this.vmCount.getAsInt(), this.loop.nowMs());
	}

	RetryUsage usage(String service) {
		return budget(service).usage(this.vmCount.getAsInt(), this.loop.nowMs());
	}

	void onSent(String service) {
		budget(service).onSent(this.loop.nowMs());
	}

	void refund(String service) {
		budget(service).refund();
	}

	WindowedRetryBudget budget(String service) {
		return this.budgets.computeIfAbsent(service, (key) -> new WindowedRetryBudget(this.limits.retryRatio(),
				this.limits.retryWindowMs(), this.limits.retrySlack(), this.startedMs));
	}

}
