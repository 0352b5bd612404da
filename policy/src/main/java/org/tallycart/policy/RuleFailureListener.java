package org.tallycart.policy;

/**
 * Hears of rules that failed at run time.
 * <p>
 * Implementations are thread-safe.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface RuleFailureListener {

	/**
	 * Take note of a failure; the built-in rule has decided instead.
	 * @param policy the policy
	 * @param rule the rule
	 * @param message what went wrong
	 */
	void onRuleFailed(String policy, String rule, String message);

}
