package org.tallycart.standin;

/**
 * Capacity and latency of an upstream stand-in.
 *
 * @param id the upstream's id
 * @param kind the kind of upstream: encode, retrieve, rerank, generate or plain
 * @param port port to listen on; 0 for any free port
 * @param slots maximum number of concurrent calls
 * @param baseMs mean duration of a call in milliseconds; for an engine, mean time to the
 * first token
 * @param tokenMs mean time per token in milliseconds, for an engine
 * @param seed seed of the random jitter and faults
 * @since 0.1
 */
public record UpstreamDefinition(String id, String kind, int port, int slots, double baseMs, double tokenMs,
		long seed) {
}
