package org.tallycart.node.statement;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Consumer;

import org.tallycart.core.fleet.LeaderRole;
import org.tallycart.core.limit.Permit;
import org.tallycart.core.limit.UpstreamRateLimiter;
import org.tallycart.core.pool.CallLimiter;
import org.tallycart.core.serving.UpstreamEntry;
import org.tallycart.node.EventLoop;
import org.tallycart.node.metrics.NodeMetrics;
import org.tallycart.node.peer.PeerMesh;
import org.tallycart.node.peer.PeerMessageHandler;
import org.tallycart.wire.message.Envelope;
import org.tallycart.wire.message.LimitAnswer;
import org.tallycart.wire.message.LimitAsk;

/**
 * Gets permits to send to upstreams that have named a limit: from the VM that grants them
 * for all, or here, where this VM does so. A request to another upstream asks nobody.
 * Calls of a stage pool are all made by its dispatcher, which grants them itself.
 * <p>
 * It protects upstreams in need from all VMs together, and uses what they still take. A
 * fixed part for each VM would keep the limit, too, and waste what falls to VMs whose
 * callers do not want it.
 * <p>
 * Invariants: without a permit nothing is sent to an upstream that is known to have a
 * limit; a permit is used once. A VM that does not know the others grants nothing. Not
 * thread-safe: belongs to the event loop.
 *
 * @since 0.1
 */
public final class PermitService implements PeerMessageHandler, CallLimiter {

	/**
	 * An answer that takes longer is not waited for, in milliseconds: VMs are a few
	 * milliseconds apart, and the request has other upstreams to go to.
	 */
	private static final long ANSWER_MS = 150;

	/**
	 * When to ask again where it is not known who grants, in milliseconds: about half of
	 * what it takes to find that out.
	 */
	private static final long UNKNOWN_MS = 100;

	private final UpstreamRateLimiter grants = new UpstreamRateLimiter();

	private final Map<String, Long> freeFromMs = new HashMap<>();

	private final Map<Long, PendingRequest> pending = new HashMap<>();

	private final String vm;

	private final UpstreamStatements statements;

	private final EventLoop loop;

	private final NodeMetrics metrics;

	private Optional<PeerMesh> mesh = Optional.empty();

	private long lastNumber;

	/**
	 * Create a service.
	 * @param vm this VM's name
	 * @param statements knows the limits
	 * @param loop the event loop
	 * @param metrics what is counted
	 */
	public PermitService(String vm, UpstreamStatements statements, EventLoop loop, NodeMetrics metrics) {
		this.vm = vm;
		this.statements = statements;
		this.loop = loop;
		this.metrics = metrics;
	}

	/**
	 * Begin to work with other VMs.
	 * @param peers the other VMs
	 */
	public void start(PeerMesh peers) {
		this.mesh = Optional.of(peers);
	}

	/**
	 * Return whether an upstream has named a limit.
	 * @param upstream the upstream
	 * @return true if a permit is needed
	 */
	public boolean hasLimit(UpstreamEntry upstream) {
		return this.statements.perSecond(upstream).isPresent();
	}

	/**
	 * Return how long it takes until a permit may be had, as far as this VM was told.
	 * @param upstream the upstream
	 * @return milliseconds; 0 if it is worth to ask now, or has no limit
	 */
	public long nextPermitInMs(UpstreamEntry upstream) {
		if (this.freeFromMs.isEmpty()) {
			return 0;
		}
		Long from = this.freeFromMs.get(upstream.incarnation());
		return (from == null || !hasLimit(upstream)) ? 0 : Math.max(from - this.loop.nowMs(), 0);
	}

	/**
	 * Ask for a permit to send one request.
	 * @param upstream where to
	 * @param patienceMs how long the request may wait for its turn
	 * @param consumer takes the answer, at once or later
	 */
	public void acquire(UpstreamEntry upstream, long patienceMs, Consumer<Permit> consumer) {
		String incarnation = upstream.incarnation();
		Consumer<Permit> asker = (permit) -> {
			this.metrics.onPermit(permit.granted());
			if (!permit.granted()) {
				this.freeFromMs.put(incarnation, this.loop.nowMs() + permit.waitMs());
			}
			consumer.accept(permit);
		};
		Optional<String> holder = holder();
		if (holder.isEmpty()) {
			asker.accept(Permit.denied(UNKNOWN_MS));
		}
		else if (holder.get().equals(this.vm)) {
			asker.accept(grant(incarnation, LeaderRole.PERMIT_GRANTER, patienceMs));
		}
		else {
			askAt(holder.get(), incarnation, patienceMs, asker);
		}
	}

	// Empty while that is not known.
	private Optional<String> holder() {
		return this.mesh.filter((peers) -> peers.knownVmCount() > 0)
			.filter((peers) -> peers.duties().isLeaderKnown(LeaderRole.PERMIT_GRANTER, this.loop.nowMs()))
			.map((peers) -> peers.holder(LeaderRole.PERMIT_GRANTER));
	}

	private void askAt(String holder, String incarnation, long patienceMs, Consumer<Permit> asker) {
		long number = ++this.lastNumber;
		this.pending.put(number, new PendingRequest(holder, asker));
		Envelope.Builder ask = StatementMessageCodec.ask(number, this.statements.encoded(incarnation), patienceMs);
		this.mesh.ifPresent((peers) -> peers.send(holder, ask));
		this.loop.schedule(ANSWER_MS, () -> settle(number, Permit.denied(UNKNOWN_MS)));
	}

	private void settle(long number, Permit permit) {
		PendingRequest asked = this.pending.remove(number);
		if (asked != null) {
			asked.asker.accept(permit);
		}
	}

	private Permit grant(String incarnation, LeaderRole duty, long patienceMs) {
		OptionalDouble perSecond = this.statements.perSecond(incarnation);
		if (perSecond.isEmpty()) {
			return Permit.UNLIMITED;
		}
		return this.grants.acquire(incarnation, perSecond.getAsDouble(), share(duty), patienceMs, this.loop.nowMs());
	}

	private double share(LeaderRole duty) {
		return this.mesh.map((peers) -> peers.shareOfRate(duty)).orElse(0.0);
	}

	@Override
	public boolean mayCall(UpstreamEntry worker) {
		OptionalDouble perSecond = this.statements.perSecond(worker);
		return perSecond.isEmpty() || this.grants.isAvailable(worker.incarnation(), perSecond.getAsDouble(),
				share(LeaderRole.poolDispatcher(worker.service())), this.loop.nowMs());
	}

	@Override
	public long acceptsInMs(UpstreamEntry worker) {
		return this.statements.acceptsInMs(worker);
	}

	@Override
	public void onCall(UpstreamEntry worker) {
		grant(worker.incarnation(), LeaderRole.poolDispatcher(worker.service()), 0);
	}

	@Override
	public void onMessage(String from, Envelope message) {
		if (message.hasLimitAsk()) {
			onAsk(from, message.getLimitAsk());
		}
		else if (message.hasLimitAnswer()) {
			onAnswer(from, message.getLimitAnswer());
		}
	}

	// Whoever asks may know the limit better than this VM, or see another VM as the one
	// that grants.
	private void onAsk(String from, LimitAsk ask) {
		String incarnation = ask.getLimit().getIncarnation();
		this.statements.learn(from, ask.getLimit());
		boolean grantsHere = holder().filter(this.vm::equals).isPresent();
		Permit permit = grantsHere
				? grant(incarnation, LeaderRole.PERMIT_GRANTER, Integer.toUnsignedLong(ask.getPatienceMs()))
				: Permit.denied(UNKNOWN_MS);
		Envelope.Builder answer = StatementMessageCodec.answer(ask.getNumber(), permit,
				this.statements.encoded(incarnation));
		this.mesh.ifPresent((peers) -> peers.reply(from, answer));
	}

	private void onAnswer(String from, LimitAnswer answer) {
		this.statements.learn(from, answer.getLimit());
		settle(answer.getNumber(), new Permit(answer.getGranted(), Integer.toUnsignedLong(answer.getWaitMs())));
	}

	@Override
	public void onLost(String lost) {
		Map<Long, PendingRequest> asked = new HashMap<>(this.pending);
		asked.forEach((number, each) -> {
			if (each.holder.equals(lost)) {
				settle(number, Permit.denied(UNKNOWN_MS));
			}
		});
	}

	/** Drop what is of no use any more. To be called now and then. */
	public void tick() {
		this.grants.expire(this.loop.nowMs());
		this.freeFromMs.values().removeIf((from) -> from <= this.loop.nowMs());
	}

	/**
	 * A question that is not answered yet.
	 *
	 * @param holder who was asked
	 * @param asker takes the answer
	 */
	private record PendingRequest(String holder, Consumer<Permit> asker) {
	}

}
