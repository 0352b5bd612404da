package org.tallycart.http.event;

/**
 * What a caller may send, and how long it may take.
 * <p>
 * Immutable and thread-safe.
 *
 * @param maxHeadBytes the longest head, in bytes
 * @param maxBodyBytes the longest body, in bytes
 * @param headTimeoutMs how long a head may take, in milliseconds from its first byte
 * @param idleTimeoutMs how long a connection may be idle, in milliseconds
 * @since 0.1
 */
public record RequestLimits(int maxHeadBytes, long maxBodyBytes, long headTimeoutMs, long idleTimeoutMs) {
}
