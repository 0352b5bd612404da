package org.tallycart.core.declaration;

/**
 * Source text of the rules of a policy; an empty rule selects the built-in one.
 *
 * @param id name of the policy
 * @param admit rule that decides whether a request is admitted
 * @param priority rule for the priority of a request; a higher one goes first
 * @param place rule for the score of an upstream; a lower one is preferred
 * @param shed rule that decides whether a request is shed under load
 * @param shadow whether the decisions of the policy are only reported, not applied
 * @since 0.1
 */
public record PolicySource(String id, String admit, String priority, String place, String shed, boolean shadow) {
}
