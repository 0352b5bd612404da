package org.tallycart.entry.stage;

import java.util.List;

/**
 * What the stages of one request have made so far.
 * <p>
 * Immutable and thread-safe.
 *
 * @param input the caller's question
 * @param maxTokens tokens to generate, at most
 * @param topDocuments documents to go on with
 * @param vector the question's vector; empty before encoding
 * @param documents the documents found; empty before retrieval
 * @param output the answer; empty before the last stage
 * @since 0.1
 */
public record PipelineData(String input, int maxTokens, int topDocuments, List<Double> vector, List<Document> documents,
		String output) {

	/**
	 * Begin with a question.
	 * @param input the question
	 * @param maxTokens tokens to generate, at most
	 * @param topDocuments documents to go on with
	 * @return the data before any stage
	 */
	public static PipelineData begin(String input, int maxTokens, int topDocuments) {
		return new PipelineData(input, maxTokens, topDocuments, List.of(), List.of(), "");
	}

	PipelineData withVector(List<Double> next) {
		return new PipelineData(this.input, this.maxTokens, this.topDocuments, next, this.documents, this.output);
	}

	PipelineData withDocuments(List<Document> next) {
		return new PipelineData(this.input, this.maxTokens, this.topDocuments, this.vector, next, this.output);
	}

	PipelineData withOutput(String next) {
		return new PipelineData(this.input, this.maxTokens, this.topDocuments, this.vector, this.documents, next);
	}

}
