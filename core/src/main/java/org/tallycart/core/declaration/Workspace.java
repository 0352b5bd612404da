package org.tallycart.core.declaration;

/**
 * A customer's share of the system.
 *
 * @param id the name
 * @param weight its share where work of several workspaces waits
 * @param requestsPerSecond its limit over all VMs together; 0 for none
 * @param concurrency its limit of requests in flight over all VMs together; 0 for none
 * @since 0.1
 */
public record Workspace(String id, double weight, double requestsPerSecond, int concurrency) {
}
