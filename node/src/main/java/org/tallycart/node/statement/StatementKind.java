package org.tallycart.node.statement;

/**
 * Kind of statement that an upstream makes about itself in a reply. The names appear in
 * metrics and log lines.
 *
 * @since 0.1
 */
public enum StatementKind {

	/** The maximum number of requests a second from all VMs together. */
	LIMIT,
	/** The rejections a second from all VMs together that the upstream tolerates. */
	BRITTLE,
	/** The draining state of the upstream. */
	LEAVING,
	/** The backoff that the upstream asks of a VM that it has refused. */
	REST,
	/** How long work takes at the upstream now. */
	SPEED

}
