package org.tallycart.testbed;

/**
 * A service of a fleet: its workers and what they cost.
 *
 * @param id the service
 * @param kind encode, retrieve, rerank, generate or plain
 * @param workers how many workers it has
 * @param slots calls a worker runs at a time
 * @param baseMs time of a call, or to the first token
 * @param tokenMs time of a token
 * @param costPerCall cost of a call
 * @param costPerToken cost of a token
 * @since 0.1
 */
public record ServiceDefinition(String id, String kind, int workers, int slots, double baseMs, double tokenMs,
		double costPerCall, double costPerToken) {
}
