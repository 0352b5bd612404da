package org.tallycart.standin;

/**
 * How large and how fast an upstream stand-in is.
 *
 * @param id the upstream
 * @param kind what it stands in for: encode, retrieve, rerank, generate or plain
 * @param port where it listens
 * @param slots calls it runs at a time
 * @param baseMs time of a call; for an engine, time to the first token
 * @param tokenMs time of a token, for an engine
 * @param seed of its jitter and faults
 * @since 0.1
 */
public record UpstreamDefinition(String id, String kind, int port, int slots, double baseMs, double tokenMs,
		long seed) {
}
