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
 * Translates what upstreams have said of themselves to and from the messages between VMs.
 * <p>
 * Thread-safe: holds no state.
 */
final class StatementMessageCodec {

	private StatementMessageCodec() {
	}

	static Envelope.Builder notice(Map<String, StatedLimits.LimitStatement> limits, Collection<String> leaving) {
		StatementNotice.Builder notice = StatementNotice.newBuilder().addAllLeaving(leaving);
		limits.forEach((incarnation, named) -> notice.addLimits(encode(incarnation, named)));
		return Envelope.newBuilder().setStatementNotice(notice);
	}

	static Envelope.Builder ask(long number, UpstreamLimit limit, long patienceMs) {
		return Envelope.newBuilder()
			.setLimitAsk(LimitAsk.newBuilder().setNumber(number).setLimit(limit).setPatienceMs((int) patienceMs));
	}

	static Envelope.Builder answer(long number, Permit permit, UpstreamLimit limit) {
		return Envelope.newBuilder()
			.setLimitAnswer(LimitAnswer.newBuilder()
				.setNumber(number)
				.setGranted(permit.granted())
				.setWaitMs((int) permit.waitMs())
				.setLimit(limit));
	}

	static UpstreamLimit encode(String incarnation, StatedLimits.LimitStatement named) {
		return UpstreamLimit.newBuilder()
			.setIncarnation(incarnation)
			.setLimited(named.perSecond().isPresent())
			.setPerSecond(named.perSecond().orElse(0))
			.setSaid(named.statedAt().packed())
			.build();
	}

	static StatedLimits.LimitStatement decode(UpstreamLimit limit) {
		OptionalDouble perSecond = limit.getLimited() ? OptionalDouble.of(limit.getPerSecond())
				: OptionalDouble.empty();
		return new StatedLimits.LimitStatement(perSecond, HybridTimestamp.ofPacked(limit.getSaid()));
	}

}
