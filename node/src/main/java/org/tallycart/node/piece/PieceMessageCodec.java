package org.tallycart.node.piece;

import java.util.Set;

import org.tallycart.core.crash.Fingerprint;
import org.tallycart.core.pool.PieceId;
import org.tallycart.core.pool.PieceJob;
import org.tallycart.core.pool.PieceOutcome;
import org.tallycart.core.pool.PoolLoad;
import org.tallycart.wire.message.PieceAnswer;
import org.tallycart.wire.message.PieceAsk;
import org.tallycart.wire.message.PieceWithdrawal;
import org.tallycart.wire.message.PoolLoadStatus;
import org.tallycart.wire.message.PriorityLoadStatus;

/**
 * Encodes and decodes pieces and their outcomes in messages between VMs. Times are sent
 * as durations, since VMs share no clock.
 * <p>
 * Thread-safe: holds no state.
 */
final class PieceMessageCodec {

	private PieceMessageCodec() {
	}

	static PieceAsk encode(PieceJob job, long nowMs) {
		return PieceAsk.newBuilder()
			.setRequestId(job.id().requestId())
			.setStage(job.id().stage())
			.setPiece(job.id().piece())
			.setFingerprint(job.fingerprint().value())
			.setService(job.service())
			.setKey(job.key())
			.addAllInputs(job.inputs())
			.setDeadlineInMs((int) (job.deadlineMs() - nowMs))
			.setObjectiveInMs((int) (job.objectiveMs() - nowMs))
			.setPriority(job.priority())
			.setFailureDomain(job.failureDomain())
			.setResultBytes(job.resultBytes())
			.setTogether(job.colocated())
			.setMovedBytes(job.crossDomainBytes())
			.setWorkspace(job.workspace())
			.build();
	}

	static PoolLoadStatus encode(PoolLoad load) {
		PoolLoadStatus.Builder status = PoolLoadStatus.newBuilder()
			.setService(load.service())
			.setCallMs((int) load.callMs());
		for (PoolLoad.PriorityLoad each : load.priorities()) {
			status.addPriorities(PriorityLoadStatus.newBuilder()
				.setPriority(each.priority())
				.setOnTimeMs((int) each.onTimeMs())
				.setLateMs((int) each.lateMs())
				.addAllLateWorkspaces(each.lateWorkspaces()));
		}
		return status.build();
	}

	static PoolLoad decode(PoolLoadStatus status) {
		return new PoolLoad(status.getService(), status.getCallMs(),
				status.getPrioritiesList()
					.stream()
					.map((each) -> new PoolLoad.PriorityLoad(each.getPriority(), each.getOnTimeMs(), each.getLateMs(),
							Set.copyOf(each.getLateWorkspacesList())))
					.toList());
	}

	static PieceJob decode(PieceAsk ask, long nowMs) {
		PieceId id = new PieceId(ask.getRequestId(), ask.getStage(), ask.getPiece());
		return PieceJob.builder(id, ask.getService())
			.fingerprint(new Fingerprint(ask.getFingerprint()))
			.source(ask.getKey(), ask.getInputsList())
			.dueBy(nowMs + ask.getObjectiveInMs(), nowMs + ask.getDeadlineInMs())
			.priority(ask.getPriority())
			.preferredDomain(ask.getFailureDomain(), ask.getMovedBytes())
			.result(ask.getResultBytes(), ask.getTogether())
			.workspace(ask.getWorkspace())
			.build();
	}

	static PieceAnswer encode(PieceId id, PieceOutcome outcome) {
		return PieceAnswer.newBuilder()
			.setRequestId(id.requestId())
			.setStage(id.stage())
			.setPiece(id.piece())
			.setStatus(PieceAnswer.Status.valueOf(outcome.status().name()))
			.setHandle(outcome.handle())
			.setRetryAfterMs(outcome.retryAfterMs())
			.build();
	}

	// Encodes a notice about a piece that has no outcome yet.
	static PieceAnswer notice(PieceId id, PieceAnswer.Status status) {
		return PieceAnswer.newBuilder()
			.setRequestId(id.requestId())
			.setStage(id.stage())
			.setPiece(id.piece())
			.setStatus(status)
			.build();
	}

	static PieceId id(PieceAnswer answer) {
		return new PieceId(answer.getRequestId(), answer.getStage(), answer.getPiece());
	}

	// Treats a status that only newer versions know as a failure.
	static PieceOutcome outcome(PieceAnswer answer) {
		return switch (answer.getStatus()) {
			case MADE -> PieceOutcome.completed(answer.getHandle());
			case LATE -> PieceOutcome.late(answer.getRetryAfterMs());
			case INPUT_GONE -> PieceOutcome.notCompleted(PieceOutcome.Status.INPUT_GONE);
			case NO_ROOM -> PieceOutcome.notCompleted(PieceOutcome.Status.NO_ROOM);
			case NO_WORKER -> PieceOutcome.noWorker(answer.getRetryAfterMs());
			case FAILED, INPUTS_READ, HANDED_BACK, UNRECOGNIZED ->
				PieceOutcome.notCompleted(PieceOutcome.Status.FAILED);
		};
	}

	static PieceWithdrawal withdrawal(String service, PieceId id) {
		return PieceWithdrawal.newBuilder()
			.setService(service)
			.setRequestId(id.requestId())
			.setStage(id.stage())
			.setPiece(id.piece())
			.build();
	}

	static PieceId id(PieceWithdrawal withdrawal) {
		return new PieceId(withdrawal.getRequestId(), withdrawal.getStage(), withdrawal.getPiece());
	}

}
