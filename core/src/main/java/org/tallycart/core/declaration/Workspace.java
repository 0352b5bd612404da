package org.tallycart.core.declaration;

/**
 * Weight and limits of a customer.
 *
 * @param id name of the workspace
 * @param weight relative share of the workspace when requests of several workspaces are
 * queued
 * @param requestsPerSecond rate limit over all VMs together; 0 if there is none
 * @param concurrency limit of requests in flight over all VMs together; 0 if there is
 * none
 * @since 0.1
 */
public record Workspace(String id, double weight, double requestsPerSecond, int concurrency) {
}
