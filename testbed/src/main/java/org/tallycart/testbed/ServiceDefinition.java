package org.tallycart.testbed;

/**
 * Definition of a service of a local fleet: its workers, their latency and cost.
 *
 * @param id the service's id
 * @param kind encode, retrieve, rerank, generate or plain
 * @param workers number of workers
 * @param slots maximum number of concurrent calls of a worker
 * @param baseMs mean duration of a call, or mean time to the first token, in milliseconds
 * @param tokenMs mean time per token in milliseconds
 * @param costPerCall cost per call, in the unit of the declarations
 * @param costPerToken cost per token, in the same unit
 * @since 0.1
 */
public record ServiceDefinition(String id, String kind, int workers, int slots, double baseMs, double tokenMs,
		double costPerCall, double costPerToken) {
}
