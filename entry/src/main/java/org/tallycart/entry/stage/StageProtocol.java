package org.tallycart.entry.stage;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.tallycart.core.declaration.Service;

/**
 * How one kind of service is called: its request and what its answer means.
 * <p>
 * Implementations are thread-safe and hold no state.
 *
 * @since 0.1
 */
interface StageProtocol {

	/**
	 * Return the path of calls.
	 * @param service the service
	 * @return the path
	 */
	String path(Service service);

	/**
	 * Make a call's body.
	 * @param data what the stages have made so far
	 * @param service the service
	 * @return the body
	 */
	JsonNode request(PipelineData data, Service service);

	/**
	 * Read an answer.
	 * @param data what the stages have made so far
	 * @param body the answer's body
	 * @return the data with this stage's result, or why the answer is not whole
	 */
	Either<String, PipelineData> accept(PipelineData data, JsonNode body);

}
