package org.tallycart.core.limit;

/**
 * A VM's request to the allocator of a workspace's limit.
 *
 * @param workspace the name of the workspace
 * @param vm the name of the VM
 * @param demandPerSecond the requests per second that the VM receives, admitted or not
 * @param holdsPerSecond the part of its current grant that the VM uses until a reply
 * arrives, in requests per second
 * @since 0.1
 */
public record ShareRequest(String workspace, String vm, double demandPerSecond, double holdsPerSecond) {
}
