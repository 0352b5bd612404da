package org.tallycart.core.declaration;

/**
 * Kind of an upstream service, each with its own published interface.
 *
 * @since 0.1
 */
public enum StageKind {

	/** Encodes a text as a vector. */
	ENCODE,
	/** Finds documents for a vector. */
	RETRIEVE,
	/** Sorts documents by relevance. */
	RERANK,
	/** Generates text. */
	GENERATE,
	/** A plain service with JSON requests and responses. */
	PLAIN

}
