package org.tallycart.core.limit;

/**
 * What a VM tells the home of a workspace's limit.
 *
 * @param workspace the workspace
 * @param vm the VM
 * @param demandPerSecond requests a second it has seen, let in or not
 * @param holdsPerSecond of its grant, what it keeps using until it hears an answer
 * @since 0.1
 */
public record ShareRequest(String workspace, String vm, double demandPerSecond, double holdsPerSecond) {
}
