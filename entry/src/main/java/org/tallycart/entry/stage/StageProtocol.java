package org.tallycart.entry.stage;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.tallycart.core.declaration.Service;

/**
 * Protocol of one kind of service: creates requests and interprets replies.
 * <p>
 * Implementations are thread-safe and hold no state.
 *
 * @since 0.1
 */
interface StageProtocol {

	/**
	 * Return the path of requests.
	 * @param service the service
	 * @return the path
	 */
	String path(Service service);

	/**
	 * Create the body of a request.
	 * @param data the input and the results of the stages so far
	 * @param service the service
	 * @return the body
	 */
	JsonNode request(PipelineData data, Service service);

	/**
	 * Parse a reply and add its result to the data.
	 * @param data the input and the results of the stages so far
	 * @param body the body of the reply
	 * @return the data with this stage's result, or a description of what the reply lacks
	 */
	Either<String, PipelineData> parseReply(PipelineData data, JsonNode body);

}
