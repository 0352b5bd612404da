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
 * Claims idempotency keys from the owners of their slots.
 * <p>
 * Invariants: a grant counts only if its term is not lower than any this entry has seen
 * for the slot; a request whose claim has an unknown result never runs. Thread-safe.
 *
 * @since 0.1
 */
public final class ClaimClient {

	private static final long CALL_TIMEOUT_MS = 500;

	private static final long SEARCH_MS = 3_000;

	private static final long PAUSE_MS = 50;

	private static final long RESERVE_MS = 20;

	private static final long COME_BACK_MS = 1_000;

	private static final int FINISH_TRIES = 5;

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
	 * @param vm the VM of this entry
	 * @param transport the process's transport
	 * @param state what is known of the fleet
	 * @param window the window in which keys can be claimed
	 * @param events the process's events
	 * @return the client
	 */
	public static ClaimClient create(String vm, WireTransport transport, Supplier<EntryState> state,
			IdempotencyKeyWindow window, EventLog events) {
		return new ClaimClient(vm, transport, state, window, events);
	}

	/**
	 * Claim a key.
	 * @param key the key
	 * @param attemptId this submission's id, unique in the fleet
	 * @param firstSubmission whether the caller says that the key was never submitted
	 * before
	 * @param deadlineMs when the request is due, by the monotonic clock
	 * @return what became of it
	 */
	public ClaimDecision claim(IdempotencyKey key, String attemptId, boolean firstSubmission, long deadlineMs) {
		Optional<RequestResult> outside = this.window.check(key, Clocks.SYSTEM.wallMs());
		if (outside.isPresent()) {
			return ClaimDecision.refused(truthful(outside.get(), firstSubmission));
		}
		long searchUntil = Math.min(deadlineMs - RESERVE_MS, Clocks.SYSTEM.monotonicMs() + SEARCH_MS);
		boolean maybeRecorded = false;
		ClaimDecision decision = null;
		boolean held = false;
		while (decision == null) {
			Either<WireError, ClaimAnswer> answer = ask(key, attemptId);
			maybeRecorded |= answer.isLeft() && answer.getLeft() != WireError.NOT_CONNECTED;
			this.events.emit(EventCode.KEY_CLAIMED, SubmissionId.requestIdOf(attemptId),
					key.text() + " " + answer.map((known) -> known.getStatus().name()).getOrElseGet(WireError::name));
			held = answer.isRight() && answer.get().getStatus() == ClaimAnswer.Status.HELD;
			decision = answer.isRight() ? decide(key, answer.get(), firstSubmission) : null;
			long until = held ? deadlineMs - RESERVE_MS : searchUntil;
			if (decision == null && (Clocks.SYSTEM.monotonicMs() + PAUSE_MS >= until || !pause())) {
				decision = giveUp(held, firstSubmission);
			}
		}
		if (decision.kind() == ClaimDecision.Kind.REFUSED && maybeRecorded) {
			// An unanswered claim may be on record; this attempt will never run, so let
			// it go.
			release(key, attemptId);
		}
		return decision;
	}

	private static ClaimDecision giveUp(boolean held, boolean firstSubmission) {
		if (held) {
			return ClaimDecision.refused(new RequestResult(Outcome.UNKNOWN, Reason.KEY_HELD,
					"another submission of this key is in progress or was cut off", COME_BACK_MS));
		}
		return ClaimDecision.refused(truthful(new RequestResult(Outcome.NOT_RUN, Reason.NO_SLOT_OWNER,
				"the owner of this key's slot cannot be reached", COME_BACK_MS), firstSubmission));
	}

	private @Nullable ClaimDecision decide(IdempotencyKey key, ClaimAnswer answer, boolean firstSubmission) {
		return switch (answer.getStatus()) {
			case GRANTED -> ClaimDecision.granted();
			case FINISHED -> ClaimDecision.answered(answer.getResult().toByteArray());
			case BEFORE_TAKEOVER -> ClaimDecision.refused(truthful(new RequestResult(Outcome.NOT_RUN,
					Reason.KEY_BEFORE_TAKEOVER,
					"the key is older than the take-over of its slot; a first submission may come back with a new key",
					2 * this.window.skewMs()), firstSubmission));
			case EXPIRED -> ClaimDecision.refused(truthful(
					RequestResult.of(Outcome.NOT_RUN, Reason.KEY_EXPIRED, "the key is too old"), firstSubmission));
			default -> null;
		};
	}

	private static RequestResult truthful(RequestResult ending, boolean firstSubmission) {
		// An earlier submission of the key may have run, unless the caller says there is
		// none.
		boolean certain = firstSubmission || ending.outcome() != Outcome.NOT_RUN
				|| ending.reason() == Reason.KEY_FROM_FUTURE;
		Outcome outcome = certain ? ending.outcome() : Outcome.UNKNOWN;
		if (firstSubmission) {
			outcome = Outcome.NOT_RUN;
		}
		return new RequestResult(outcome, ending.reason(), ending.detail(), ending.retryAfterMs());
	}

	private Either<WireError, ClaimAnswer> ask(IdempotencyKey key, String attemptId) {
		EntryState known = this.state.get();
		int slot = key.slot(known.slots().slotCount());
		WireClient owner = owner(known, slot);
		if (owner == null) {
			return Either.left(WireError.NOT_CONNECTED);
		}
		long term = highest(slot, termOf(known, slot));
		ClaimCall call = ClaimCall.newBuilder()
			.setKey(key.text())
			.setClaimant(claimant(attemptId))
			.setKnownTerm(term)
			.build();
		Either<WireError, ClaimAnswer> answer = await(
				owner.call(Envelope.newBuilder().setClaimCall(call), CALL_TIMEOUT_MS))
			.map(Envelope::getClaimAnswer);
		if (answer.isRight() && answer.get().getStatus() == ClaimAnswer.Status.GRANTED
				&& highest(slot, answer.get().getTerm()) > answer.get().getTerm()) {
			// A grant of an owner that has been replaced counts for nothing.
			return Either.right(ClaimAnswer.newBuilder().setStatus(ClaimAnswer.Status.NOT_OWNER).build());
		}
		return answer;
	}

	private long highest(int slot, long term) {
		Long highest = this.highestTerms.merge(slot, term, Math::max);
		return (highest != null) ? highest : term;
	}

	private static long termOf(EntryState known, int slot) {
		SlotOwner owner = known.slots().owner(slot);
		return (owner != null) ? owner.term() : 0;
	}

	private @Nullable WireClient owner(EntryState known, int slot) {
		SlotOwner owner = known.slots().owner(slot);
		if (owner == null) {
			return null;
		}
		return known.vms()
			.find(owner.vm())
			.map((vm) -> this.clients.computeIfAbsent(vm.address(), this.transport::client))
			.orElse(null);
	}

	/**
	 * Report the answer of a request that ran, so that later submissions of its key get
	 * it.
	 * @param key the key
	 * @param attemptId the submission that ran
	 * @param answer the answer
	 */
	public void finish(IdempotencyKey key, String attemptId, byte[] answer) {
		ClaimFinish finish = ClaimFinish.newBuilder()
			.setKey(key.text())
			.setClaimant(claimant(attemptId))
			.setResult(ByteString.copyFrom(answer))
			.build();
		finish(key, finish, FINISH_TRIES);
	}

	private void finish(IdempotencyKey key, ClaimFinish finish, int triesLeft) {
		EntryState known = this.state.get();
		WireClient owner = owner(known, key.slot(known.slots().slotCount()));
		if (owner == null || triesLeft == 0) {
			return;
		}
		owner.call(Envelope.newBuilder().setClaimFinish(finish), CALL_TIMEOUT_MS).thenAccept((reply) -> {
			if (reply.isLeft() || !reply.get().getAck().getAccepted()) {
				CompletableFuture.delayedExecutor(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS)
					.execute(() -> finish(key, finish, triesLeft - 1));
			}
		});
	}

	/**
	 * Let a key go, whose submission has begun nothing and never will.
	 * @param key the key
	 * @param attemptId the submission
	 */
	public void release(IdempotencyKey key, String attemptId) {
		EntryState known = this.state.get();
		WireClient owner = owner(known, key.slot(known.slots().slotCount()));
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
			throw new IllegalStateException("a wire call never fails by an exception", ex);
		}
	}

	private static boolean pause() {
		try {
			Thread.sleep(PAUSE_MS);
			return true;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

}
