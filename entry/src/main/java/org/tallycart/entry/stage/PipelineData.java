package org.tallycart.entry.stage;

import java.util.List;

/**
 * Input of a request and the results of its stages so far.
 * <p>
 * Immutable and thread-safe.
 *
 * @param input the caller's input text
 * @param maxTokens maximum number of tokens to generate
 * @param topDocuments maximum number of documents to keep after reranking
 * @param vector embedding of the input; empty before the encode stage
 * @param documents the retrieved documents; empty before the retrieve stage
 * @param output the output text; empty before the last stage
 * @since 0.1
 */
public record PipelineData(String input, int maxTokens, int topDocuments, List<Double> vector, List<Document> documents,
		String output) {

	/**
	 * Create the data of a request before any stage.
	 * @param input the caller's input text
	 * @param maxTokens maximum number of tokens to generate
	 * @param topDocuments maximum number of documents to keep after reranking
	 * @return the data
	 */
	public static PipelineData initial(String input, int maxTokens, int topDocuments) {
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
