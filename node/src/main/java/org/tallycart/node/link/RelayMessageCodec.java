package org.tallycart.node.link;

import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.ByteString;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.MessageHeaders;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.tallycart.core.ini.Address;
import org.tallycart.http.event.CallFailure;
import org.tallycart.http.event.ClientRequest;
import org.tallycart.platform.http.UpstreamCodec;
import org.tallycart.wire.message.RelayCall;
import org.tallycart.wire.message.RelayFailure;
import org.tallycart.wire.message.RelayField;
import org.tallycart.wire.message.RelayHead;

/**
 * Translates calls to upstreams and their replies to messages between VMs.
 * <p>
 * Stateless and thread-safe.
 */
final class RelayMessageCodec {

	/**
	 * Number of the kind of a failure that VMs of before it take for a closed connection.
	 */
	private static final int LIMIT_EXCEEDED = 3;

	private RelayMessageCodec() {
	}

	static RelayCall encode(long number, ClientRequest request) {
		return RelayCall.newBuilder()
			.setNumber(number)
			.setConnectionPool(request.poolName())
			.setHost(request.address().host())
			.setPort(request.address().port())
			.setMethod(request.head().getMethod())
			.setPath(request.head().getPath())
			.addAllFields(fields(request.head()))
			.setBody(ByteString.copyFrom(request.body()))
			.setConnectTimeoutMs(request.connectTimeoutMs())
			.setReuseConnection(request.reuseConnection())
			.build();
	}

	static ClientRequest decode(RelayCall call) {
		HttpRequest head = new BasicHttpRequest(call.getMethod(), call.getPath());
		call.getFieldsList().forEach((field) -> head.addHeader(field.getName(), field.getValue()));
		return new ClientRequest(call.getConnectionPool(), new Address(call.getHost(), call.getPort()), head,
				call.getBody().toByteArray(), call.getConnectTimeoutMs(), call.getReuseConnection(),
				(reply) -> UpstreamCodec.isReplyTo(head, reply));
	}

	static RelayHead encode(HttpResponse head) {
		return RelayHead.newBuilder().setStatus(head.getCode()).addAllFields(fields(head)).build();
	}

	static HttpResponse decode(RelayHead message) {
		HttpResponse head = new BasicHttpResponse(message.getStatus());
		message.getFieldsList().forEach((field) -> head.addHeader(field.getName(), field.getValue()));
		return head;
	}

	private static List<RelayField> fields(MessageHeaders head) {
		List<RelayField> fields = new ArrayList<>();
		for (Header field : head.getHeaders()) {
			fields.add(RelayField.newBuilder().setName(field.getName()).setValue(field.getValue()).build());
		}
		return fields;
	}

	static RelayFailure encode(CallFailure failure) {
		return RelayFailure.newBuilder()
			.setKindValue(encode(failure.kind()))
			.setSent(failure.sent())
			.setDetail(failure.detail())
			.build();
	}

	private static int encode(CallFailure.Kind kind) {
		return switch (kind) {
			case NOT_CONNECTED -> RelayFailure.Kind.NOT_CONNECTED_VALUE;
			case CLOSED, TIMED_OUT -> RelayFailure.Kind.CLOSED_VALUE;
			case MALFORMED -> RelayFailure.Kind.MALFORMED_VALUE;
			case LIMIT_EXCEEDED -> LIMIT_EXCEEDED;
		};
	}

	// A kind that is not known counts as a lost connection.
	static CallFailure decode(RelayFailure message) {
		CallFailure.Kind kind = switch (message.getKindValue()) {
			case RelayFailure.Kind.NOT_CONNECTED_VALUE -> CallFailure.Kind.NOT_CONNECTED;
			case RelayFailure.Kind.MALFORMED_VALUE -> CallFailure.Kind.MALFORMED;
			case LIMIT_EXCEEDED -> CallFailure.Kind.LIMIT_EXCEEDED;
			default -> CallFailure.Kind.CLOSED;
		};
		return new CallFailure(kind, message.getSent(), message.getDetail());
	}

}
