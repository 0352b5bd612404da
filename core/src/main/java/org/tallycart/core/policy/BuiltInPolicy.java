package org.tallycart.core.policy;

/**
 * Default policy, used for rules that the operator has not defined.
 * <p>
 * Thread-safe: holds no state.
 *
 * @since 0.1
 */
public final class BuiltInPolicy implements Policy {

	/** The singleton instance. */
	public static final BuiltInPolicy INSTANCE = new BuiltInPolicy();

	private BuiltInPolicy() {
	}

	@Override
	public boolean admit(RequestFacts request) {
		return true;
	}

	@Override
	public long priority(RequestFacts request) {
		return 0;
	}

	@Override
	public double place(RequestFacts request, UpstreamFacts upstream) {
		return 0;
	}

	@Override
	public boolean shed(RequestFacts request, LoadFacts load) {
		return load.waitMs() > request.remainingMs();
	}

}
