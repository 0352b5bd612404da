package org.tallycart.node.piece;

import java.util.HexFormat;
import java.util.concurrent.ThreadLocalRandom;

import org.apache.hc.core5.http.HttpRequest;
import org.tallycart.core.ini.Address;
import org.tallycart.core.serving.UpstreamEntry;
import org.tallycart.http.event.ClientRequest;
import org.tallycart.platform.http.UpstreamCodec;

/**
 * Calls to workers of stages. Each has an id of its own, by which a late reply to an
 * earlier call on the same connection is told from the reply to this one.
 * <p>
 * Thread-safe: holds no state.
 */
final class StageCalls {

	private StageCalls() {
	}

	static String newId() {
		return HexFormat.of().toHexDigits(ThreadLocalRandom.current().nextLong());
	}

	static ClientRequest.Builder builder(UpstreamEntry worker, Address address, HttpRequest head) {
		return ClientRequest.builder(worker.incarnation(), address, head)
			.replyCheck((reply) -> UpstreamCodec.isReplyTo(head, reply));
	}

}
