package org.tallycart.entry.claim;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.tallycart.core.claim.IdempotencyKey;
import org.tallycart.core.claim.IdempotencyKeyWindow;
import org.tallycart.core.claim.SlotOwner;
import org.tallycart.core.claim.SubmissionId;
import org.tallycart.core.ini.Address;
import org.tallycart.core.outcome.Outcome;
import org.tallycart.core.outcome.Reason;
import org.tallycart.core.outcome.RequestResult;
import org.tallycart.entry.state.EntryState;
import org.tallycart.runtime.event.EventCode;
import org.tallycart.runtime.event.EventLog;
import org.tallycart.runtime.process.Clocks;
import org.tallycart.wire.WireClient;
import org.tallycart.wire.WireError;
import org.tallycart.wire.WireTransport;
import org.tallycart.wire.message.ClaimAnswer;
import org.tallycart.wire.message.ClaimCall;
import org.tallycart.wire.message.ClaimFinish;
import org.tallycart.wire.message.ClaimRelease;
import org.tallycart.wire.message.Claimant;
import org.tallycart.wire.message.Envelope;

/**
 * Claims idempotency keys at the owners of their slots.
 * <p>
 * Invariants: a grant is valid only if its term is not lower than the highest term seen
 * for the slot; a request whose claim has an unknown result never runs. Thread-safe.
 *
 * @since 0.1
 */
public final class ClaimClient {

	private static final long CALL_TIMEOUT_MS = 500;

	private static final long OWNER_SEARCH_MS = 3_000;

	private static final long RETRY_PAUSE_MS = 50;

	private static final long DEADLINE_RESERVE_MS = 20;

	private static final long RETRY_AFTER_MS = 1_000;

	private static final int MAX_FINISH_ATTEMPTS = 5;

	private final String vm;

	private final WireTransport transport;

	private final Supplier<EntryState> state;

	private final IdempotencyKeyWindow window;

	private final EventLog events;

	private final Map<Address, WireClient> clients = new ConcurrentHashMap<>();

	private final Map<Integer, Long> highestTerms = new ConcurrentHashMap<>();

	private ClaimClient(String vm, WireTransport transport, Supplier<EntryState> state, IdempotencyKeyWindow window,
			EventLog events) {
		this.vm = vm;
		this.transport = transport;
		this.state = state;
		this.window = window;
		this.events = events;
	}

	/**
	 * Create a client.
	 * @param vm id of this VM
	 * @param transport the wire transport of the process
	 * @param state supplies the current state of the fleet
	 * @param window the window in which keys can be claimed
	 * @param events the event log of the process
	 * @return the client
	 */
	public static ClaimClient create(String vm, WireTransport transport, Supplier<EntryState> state,
			IdempotencyKeyWindow window, EventLog events) {
		return new ClaimClient(vm, transport, state, window, events);
	}

	/**
	 * Claim a key.
	 * @param key the key
	 * @param attemptId id of this submission, unique in the fleet
	 * @param firstSubmission whether the caller states that the key was never submitted
	 * before
	 * @param deadlineMs deadline of the request, in milliseconds of the monotonic clock
	 * @return the decision
	 */
	public ClaimDecision claim(IdempotencyKey key, String attemptId, boolean firstSubmission, long deadlineMs) {
		Optional<RequestResult> windowRefusal = this.window.check(key, Clocks.SYSTEM.wallMs());
		if (windowRefusal.isPresent()) {
			return ClaimDecision.refused(correctOutcome(windowRefusal.get(), firstSubmission));
		}
		long searchUntil = Math.min(deadlineMs - DEADLINE_RESERVE_MS, Clocks.SYSTEM.monotonicMs() + OWNER_SEARCH_MS);
		boolean maybeRecorded = false;
		ClaimDecision decision = null;
		boolean held = false;
		while (decision == null) {
			Either<WireError, ClaimAnswer> answer = sendClaim(key, attemptId);
			maybeRecorded |= answer.isLeft() && answer.getLeft() != WireError.NOT_CONNECTED;
			this.events.emit(EventCode.KEY_CLAIMED, SubmissionId.requestIdOf(attemptId), key.text() + " "
					+ answer.map((claimAnswer) -> claimAnswer.getStatus().name()).getOrElseGet(WireError::name));
			held = answer.isRight() && answer.get().getStatus() == ClaimAnswer.Status.HELD;
			decision = answer.isRight() ? decide(key, answer.get(), firstSubmission) : null;
			long until = held ? deadlineMs - DEADLINE_RESERVE_MS : searchUntil;
			if (decision == null && (Clocks.SYSTEM.monotonicMs() + RETRY_PAUSE_MS >= until || !pause())) {
				decision = refuseUndecided(held, firstSubmission);
			}
		}
		if (decision.kind() == ClaimDecision.Kind.REFUSED && maybeRecorded) {
			// An unanswered claim may have been recorded; this submission never runs.
			release(key, attemptId);
		}
		return decision;
	}

	private static ClaimDecision refuseUndecided(boolean held, boolean firstSubmission) {
		if (held) {
			return ClaimDecision.refused(new RequestResult(Outcome.UNKNOWN, Reason.KEY_HELD,
					"another submission of this key is in progress or was cut off", RETRY_AFTER_MS));
		}
		return ClaimDecision.refused(correctOutcome(new RequestResult(Outcome.NOT_RUN, Reason.NO_SLOT_OWNER,
				"the owner of this key's slot cannot be reached", RETRY_AFTER_MS), firstSubmission));
	}

	private @Nullable ClaimDecision decide(IdempotencyKey key, ClaimAnswer answer, boolean firstSubmission) {
		return switch (answer.getStatus()) {
			case GRANTED -> ClaimDecision.granted();
			case FINISHED -> ClaimDecision.answered(answer.getResult().toByteArray());
			case BEFORE_TAKEOVER -> ClaimDecision.refused(correctOutcome(new RequestResult(Outcome.NOT_RUN,
					Reason.KEY_BEFORE_TAKEOVER,
					"the key is older than the take-over of its slot; a first submission may come back with a new key",
					2 * this.window.skewMs()), firstSubmission));
			case EXPIRED -> ClaimDecision.refused(correctOutcome(
					RequestResult.of(Outcome.NOT_RUN, Reason.KEY_EXPIRED, "the key is too old"), firstSubmission));
			default -> null;
		};
	}

	private static RequestResult correctOutcome(RequestResult result, boolean firstSubmission) {
		// Unless this is the first submission of the key, an earlier one may have run.
		boolean certain = firstSubmission || result.outcome() != Outcome.NOT_RUN
				|| result.reason() == Reason.KEY_FROM_FUTURE;
		Outcome outcome = certain ? result.outcome() : Outcome.UNKNOWN;
		if (firstSubmission) {
			outcome = Outcome.NOT_RUN;
		}
		return new RequestResult(outcome, result.reason(), result.detail(), result.retryAfterMs());
	}

	private Either<WireError, ClaimAnswer> sendClaim(IdempotencyKey key, String attemptId) {
		EntryState current = this.state.get();
		int slot = key.slot(current.slots().slotCount());
		WireClient owner = owner(current, slot);
		if (owner == null) {
			return Either.left(WireError.NOT_CONNECTED);
		}
		long term = updateHighestTerm(slot, ownerTerm(current, slot));
		ClaimCall call = ClaimCall.newBuilder()
			.setKey(key.text())
			.setClaimant(claimant(attemptId))
			.setKnownTerm(term)
			.build();
		Either<WireError, ClaimAnswer> answer = await(
				owner.call(Envelope.newBuilder().setClaimCall(call), CALL_TIMEOUT_MS))
			.map(Envelope::getClaimAnswer);
		if (answer.isRight() && answer.get().getStatus() == ClaimAnswer.Status.GRANTED
				&& updateHighestTerm(slot, answer.get().getTerm()) > answer.get().getTerm()) {
			// A grant by an owner that has been replaced is invalid.
			return Either.right(ClaimAnswer.newBuilder().setStatus(ClaimAnswer.Status.NOT_OWNER).build());
		}
		return answer;
	}

	private long updateHighestTerm(int slot, long term) {
		Long highest = this.highestTerms.merge(slot, term, Math::max);
		return (highest != null) ? highest : term;
	}

	private static long ownerTerm(EntryState current, int slot) {
		SlotOwner owner = current.slots().owner(slot);
		return (owner != null) ? owner.term() : 0;
	}

	private @Nullable WireClient owner(EntryState current, int slot) {
		SlotOwner owner = current.slots().owner(slot);
		if (owner == null) {
			return null;
		}
		return current.vms()
			.find(owner.vm())
			.map((vm) -> this.clients.computeIfAbsent(vm.address(), this.transport::client))
			.orElse(null);
	}

	/**
	 * Store the response to a request that ran, for later submissions of its key. Failed
	 * calls are retried in the background, a limited number of times.
	 * @param key the key
	 * @param attemptId id of the submission that ran
	 * @param answer the response as JSON
	 */
	public void finish(IdempotencyKey key, String attemptId, byte[] answer) {
		ClaimFinish finish = ClaimFinish.newBuilder()
			.setKey(key.text())
			.setClaimant(claimant(attemptId))
			.setResult(ByteString.copyFrom(answer))
			.build();
		finish(key, finish, MAX_FINISH_ATTEMPTS);
	}

	private void finish(IdempotencyKey key, ClaimFinish finish, int attemptsLeft) {
		EntryState current = this.state.get();
		WireClient owner = owner(current, key.slot(current.slots().slotCount()));
		if (owner == null || attemptsLeft == 0) {
			return;
		}
		owner.call(Envelope.newBuilder().setClaimFinish(finish), CALL_TIMEOUT_MS).thenAccept((reply) -> {
			if (reply.isLeft() || !reply.get().getAck().getAccepted()) {
				CompletableFuture.delayedExecutor(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS)
					.execute(() -> finish(key, finish, attemptsLeft - 1));
			}
		});
	}

	/**
	 * Release a key whose submission has started no call and never will.
	 * @param key the key
	 * @param attemptId id of the submission
	 */
	public void release(IdempotencyKey key, String attemptId) {
		EntryState current = this.state.get();
		WireClient owner = owner(current, key.slot(current.slots().slotCount()));
		if (owner != null) {
			owner.send(Envelope.newBuilder()
				.setClaimRelease(ClaimRelease.newBuilder().setKey(key.text()).setClaimant(claimant(attemptId))));
		}
	}

	private Claimant claimant(String attemptId) {
		return Claimant.newBuilder().setVm(this.vm).setAttemptId(attemptId).build();
	}

	private static Either<WireError, Envelope> await(CompletableFuture<Either<WireError, Envelope>> reply) {
		try {
			return reply.get();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return Either.left(WireError.TIMED_OUT);
		}
		catch (ExecutionException ex) {
			throw new IllegalStateException("wire call completed exceptionally", ex);
		}
	}

	private static boolean pause() {
		try {
			Thread.sleep(RETRY_PAUSE_MS);
			return true;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

}
