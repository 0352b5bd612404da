package org.tallycart.core.stream;

import java.util.List;
import java.util.Optional;

/**
 * Sends messages about the origins of streams to other VMs. Messages may be lost.
 *
 * @since 0.1
 */
public interface StreamOriginPeers {

	/**
	 * Tell a VM the origins of streams, which it keeps.
	 * @param vm the name of the VM
	 * @param streams the streams
	 */
	void sendOrigins(String vm, List<BegunStream> streams);

	/**
	 * Ask a VM for the origin of a stream.
	 * @param vm the name of the VM
	 * @param number the number of the question
	 * @param id the id of the stream
	 */
	void sendQuery(String vm, long number, String id);

	/**
	 * Answer the question of a VM.
	 * @param vm the name of the VM
	 * @param number the number of the question
	 * @param origin where the stream began; empty if this VM does not know
	 */
	void sendReply(String vm, long number, Optional<StreamOrigin> origin);

}
