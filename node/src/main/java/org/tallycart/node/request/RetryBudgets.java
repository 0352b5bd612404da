package org.tallycart.node.request;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

import org.tallycart.core.serving.NodeSettings;
import org.tallycart.core.upstream.WindowedRetryBudget;
import org.tallycart.node.EventLoop;

/**
 * The budgets for sending requests again, one a service.
 * <p>
 * Not thread-safe: belongs to the event loop.
 *
 * @since 0.1
 */
public final class RetryBudgets {

	private final EventLoop loop;

	private final IntSupplier sharingVms;

	private final Map<String, WindowedRetryBudget> windows = new HashMap<>();

	private NodeSettings.PlatformLimits bounds;

	/**
	 * Create budgets.
	 * @param bounds the figures to be kept
	 * @param loop the event loop
	 * @param sharingVms how many VMs share the budgets
	 */
	public RetryBudgets(NodeSettings.PlatformLimits bounds, EventLoop loop, IntSupplier sharingVms) {
		this.bounds = bounds;
		this.loop = loop;
		this.sharingVms = sharingVms;
	}

	/**
	 * Take new figures. What was counted so far is forgotten only where they differ.
	 * @param fresh the figures
	 */
	public void update(NodeSettings.PlatformLimits fresh) {
		if (!fresh.equals(this.bounds)) {
			this.bounds = fresh;
			this.windows.clear();
		}
	}

	void onArrival(String service) {
		window(service).onArrival(this.loop.nowMs());
	}

	boolean tryRepeat(String service) {
		return window(service).tryAcquire(this.sharingVms.getAsInt(), this.loop.nowMs());
	}

	private WindowedRetryBudget window(String service) {
		return this.windows.computeIfAbsent(service, (key) -> new WindowedRetryBudget(this.bounds.retryRatio(),
				this.bounds.retryWindowMs(), this.bounds.retrySlack()));
	}

}
