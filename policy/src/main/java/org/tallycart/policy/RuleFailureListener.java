package org.tallycart.policy;

/**
 * Receives failures of policy rules.
 * <p>
 * Implementations must be thread-safe.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface RuleFailureListener {

	/**
	 * Handle the failure of a rule, for which the built-in rule is used instead.
	 * @param policy the ID of the policy
	 * @param rule the key of the rule, or {@code compile} if a rule does not compile
	 * @param message the error message
	 */
	void onRuleFailed(String policy, String rule, String message);

}
