package org.tallycart.node.stream;

import java.util.List;
import java.util.Optional;

import org.tallycart.core.stream.BegunStream;
import org.tallycart.wire.message.Envelope;
import org.tallycart.wire.message.StreamOrigin;
import org.tallycart.wire.message.StreamOriginQuery;
import org.tallycart.wire.message.StreamOriginReply;
import org.tallycart.wire.message.StreamOrigins;

/**
 * Converts the origins of streams to and from messages between VMs.
 * <p>
 * Thread-safe: stateless.
 */
final class StreamOriginCodec {

	private StreamOriginCodec() {
	}

	static Envelope.Builder encode(List<BegunStream> streams) {
		StreamOrigins.Builder origins = StreamOrigins.newBuilder();
		streams.forEach((stream) -> origins.addStreams(encode(stream.origin()).setRequestId(stream.id())
			.setRemainingMs((int) Math.min(stream.remainingMs(), Integer.MAX_VALUE))));
		return Envelope.newBuilder().setStreamOrigins(origins);
	}

	private static StreamOrigin.Builder encode(org.tallycart.core.stream.StreamOrigin origin) {
		return StreamOrigin.newBuilder().setService(origin.service()).setSoftwareVersion(origin.softwareVersion());
	}

	static List<BegunStream> decode(StreamOrigins origins) {
		return origins.getStreamsList()
			.stream()
			.map((stream) -> new BegunStream(stream.getRequestId(), decode(stream), stream.getRemainingMs()))
			.toList();
	}

	private static org.tallycart.core.stream.StreamOrigin decode(StreamOrigin origin) {
		return new org.tallycart.core.stream.StreamOrigin(origin.getService(), origin.getSoftwareVersion());
	}

	static Envelope.Builder encodeQuery(long number, String id) {
		return Envelope.newBuilder()
			.setStreamOriginQuery(StreamOriginQuery.newBuilder().setNumber(number).setRequestId(id));
	}

	static Envelope.Builder encodeReply(long number, Optional<org.tallycart.core.stream.StreamOrigin> origin) {
		StreamOriginReply.Builder reply = StreamOriginReply.newBuilder().setNumber(number);
		origin.ifPresent((known) -> reply.setOrigin(encode(known)));
		return Envelope.newBuilder().setStreamOriginReply(reply);
	}

	static Optional<org.tallycart.core.stream.StreamOrigin> decode(StreamOriginReply reply) {
		return reply.hasOrigin() ? Optional.of(decode(reply.getOrigin())) : Optional.empty();
	}

}
