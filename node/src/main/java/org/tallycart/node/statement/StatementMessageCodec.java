package org.tallycart.node.statement;

import java.util.Collection;
import java.util.Map;
import java.util.OptionalDouble;

import org.tallycart.core.limit.Permit;
import org.tallycart.core.limit.StatedLimits;
import org.tallycart.core.time.HybridTimestamp;
import org.tallycart.wire.message.Envelope;
import org.tallycart.wire.message.LimitAnswer;
import org.tallycart.wire.message.LimitAsk;
import org.tallycart.wire.message.StatementNotice;
import org.tallycart.wire.message.UpstreamLimit;

/**
 * Converts statements of upstreams to and from messages between VMs.
 * <p>
 * Thread-safe: stateless.
 */
final class StatementMessageCodec {

	private StatementMessageCodec() {
	}

	static Envelope.Builder encodeNotice(Map<String, StatedLimits.LimitStatement> limits, Collection<String> draining) {
		StatementNotice.Builder notice = StatementNotice.newBuilder().addAllLeaving(draining);
		limits.forEach((incarnation, statement) -> notice.addLimits(encode(incarnation, statement)));
		return Envelope.newBuilder().setStatementNotice(notice);
	}

	static Envelope.Builder encodeRequest(long number, UpstreamLimit limit, long maxWaitMs) {
		return Envelope.newBuilder()
			.setLimitAsk(LimitAsk.newBuilder().setNumber(number).setLimit(limit).setPatienceMs((int) maxWaitMs));
	}

	static Envelope.Builder encodeReply(long number, Permit permit, UpstreamLimit limit) {
		return Envelope.newBuilder()
			.setLimitAnswer(LimitAnswer.newBuilder()
				.setNumber(number)
				.setGranted(permit.granted())
				.setWaitMs((int) permit.waitMs())
				.setLimit(limit));
	}

	static UpstreamLimit encode(String incarnation, StatedLimits.LimitStatement statement) {
		return UpstreamLimit.newBuilder()
			.setIncarnation(incarnation)
			.setLimited(statement.perSecond().isPresent())
			.setPerSecond(statement.perSecond().orElse(0))
			.setSaid(statement.statedAt().packed())
			.build();
	}

	static StatedLimits.LimitStatement decode(UpstreamLimit limit) {
		OptionalDouble perSecond = limit.getLimited() ? OptionalDouble.of(limit.getPerSecond())
				: OptionalDouble.empty();
		return new StatedLimits.LimitStatement(perSecond, HybridTimestamp.ofPacked(limit.getSaid()));
	}

}
