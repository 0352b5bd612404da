package org.tallycart.steward;

import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.ByteString;
import org.tallycart.core.claim.ClaimHolder;
import org.tallycart.core.claim.ClaimRecord;
import org.tallycart.core.claim.ClaimReply;
import org.tallycart.core.claim.IdempotencyKey;
import org.tallycart.core.claim.SlotHandover;
import org.tallycart.wire.message.ClaimAnswer;
import org.tallycart.wire.message.ClaimEntry;
import org.tallycart.wire.message.Claimant;
import org.tallycart.wire.message.HandoverCall;
import org.tallycart.wire.message.SlotClaims;

/**
 * Encodes claims and handovers as wire messages, and decodes them.
 * <p>
 * Thread-safe: holds no state.
 *
 * @since 0.1
 */
final class ClaimMessageCodec {

	private ClaimMessageCodec() {
	}

	static ClaimHolder decodeHolder(Claimant claimant) {
		return new ClaimHolder(claimant.getVm(), claimant.getAttemptId());
	}

	static ClaimAnswer encodeReply(ClaimReply reply) {
		ClaimAnswer.Builder answer = ClaimAnswer.newBuilder()
			.setStatus(ClaimAnswer.Status.valueOf(reply.status().name()))
			.setTerm(reply.term());
		if (reply.holder() != null) {
			answer.setHolder(encodeHolder(reply.holder()));
		}
		if (reply.result() != null) {
			answer.setResult(ByteString.copyFrom(reply.result()));
		}
		return answer.build();
	}

	private static Claimant encodeHolder(ClaimHolder holder) {
		return Claimant.newBuilder().setVm(holder.vm()).setAttemptId(holder.attemptId()).build();
	}

	static SlotClaims encodeHandover(SlotHandover handover) {
		SlotClaims.Builder slot = SlotClaims.newBuilder()
			.setSlot(handover.slot())
			.setTerm(handover.term())
			.setRefuseUntilMs(handover.refuseUntilMs());
		for (ClaimRecord claim : handover.claims()) {
			ClaimEntry.Builder entry = ClaimEntry.newBuilder()
				.setKey(claim.key().text())
				.setHolder(encodeHolder(claim.holder()));
			if (claim.result() != null) {
				entry.setFinished(true).setResult(ByteString.copyFrom(claim.result()));
			}
			slot.addClaims(entry);
		}
		return slot.build();
	}

	static List<SlotHandover> decodeHandovers(HandoverCall call) {
		List<SlotHandover> handovers = new ArrayList<>();
		for (SlotClaims slot : call.getSlotsList()) {
			List<ClaimRecord> claims = new ArrayList<>();
			for (ClaimEntry entry : slot.getClaimsList()) {
				IdempotencyKey.parse(entry.getKey())
					.peek((key) -> claims.add(new ClaimRecord(key, decodeHolder(entry.getHolder()),
							entry.getFinished() ? entry.getResult().toByteArray() : null)));
			}
			handovers.add(new SlotHandover(slot.getSlot(), slot.getTerm(), slot.getRefuseUntilMs(), call.getSequence(),
					claims));
		}
		return handovers;
	}

}
