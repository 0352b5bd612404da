package org.tallycart.node.statement;

/**
 * What an upstream may say of itself in a reply.
 *
 * @since 0.1
 */
public enum StatementKind {

	/** How many requests a second it takes from all VMs together. */
	LIMIT,
	/** That it leaves. */
	LEAVING,
	/** For how long it wants no requests from the VM that it has refused. */
	REST

}
