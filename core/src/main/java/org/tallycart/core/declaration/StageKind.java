package org.tallycart.core.declaration;

/**
 * Kinds of upstream service, each with its own published interface.
 *
 * @since 0.1
 */
public enum StageKind {

	/** Turns a text into a vector. */
	ENCODE,
	/** Finds documents for a vector. */
	RETRIEVE,
	/** Orders documents by relevance. */
	RERANK,
	/** Generates text. */
	GENERATE,
	/** A plain service: JSON in, JSON out. */
	PLAIN

}
