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
 * Acquires permits to send requests to upstreams with a stated limit, from the leader of
 * {@link LeaderRole#PERMIT_GRANTER} or locally if this VM is the leader. Upstreams
 * without a limit need no permit. The dispatcher of a stage pool makes all calls of the
 * pool, and grants their permits itself.
 * <p>
 * One VM grants the permits for all, since a fixed share of the limit would be wasted at
 * VMs without demand.
 * <p>
 * Invariants: nothing is sent without a permit to an upstream that is known to have a
 * limit; a permit is used once. A VM that does not know the other VMs grants nothing. Not
 * thread-safe: confined to the event loop.
 *
 * @since 0.1
 */
public final class PermitService implements PeerMessageHandler, CallLimiter {

	/**
	 * Timeout of a permit request, in milliseconds; after it, the caller's request may
	 * use another upstream. VMs are a few milliseconds apart.
	 */
	private static final long REPLY_TIMEOUT_MS = 150;

	/**
	 * Delay before a retry if the granting VM is not known or does not reply, in
	 * milliseconds. About half of the time after which the granting VM is known.
	 */
	private static final long RETRY_DELAY_MS = 100;

	private final UpstreamRateLimiter rateLimiter = new UpstreamRateLimiter();

	private final Map<String, Long> nextPermitMs = new HashMap<>();

	private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();

	private final String vm;

	private final UpstreamStatements statements;

	private final EventLoop loop;

	private final NodeMetrics metrics;

	private Optional<PeerMesh> mesh = Optional.empty();

	private long lastNumber;

	/**
	 * Create a service.
	 * @param vm the name of this VM
	 * @param statements the statements of upstreams, with their limits
	 * @param loop the event loop
	 * @param metrics the metrics of this process
	 */
	public PermitService(String vm, UpstreamStatements statements, EventLoop loop, NodeMetrics metrics) {
		this.vm = vm;
		this.statements = statements;
		this.loop = loop;
		this.metrics = metrics;
	}

	/**
	 * Start to exchange messages with other VMs.
	 * @param peers the other VMs
	 */
	public void start(PeerMesh peers) {
		this.mesh = Optional.of(peers);
	}

	/**
	 * Return whether an upstream has stated a limit.
	 * @param upstream the upstream
	 * @return true if a permit is needed
	 */
	public boolean hasLimit(UpstreamEntry upstream) {
		return this.statements.limitPerSecond(upstream).isPresent();
	}

	/**
	 * Return the time until a permit may be available, according to the last denial.
	 * @param upstream the upstream
	 * @return milliseconds; 0 if a permit may be available now, or none is needed
	 */
	public long nextPermitInMs(UpstreamEntry upstream) {
		if (this.nextPermitMs.isEmpty()) {
			return 0;
		}
		Long from = this.nextPermitMs.get(upstream.incarnation());
		return (from == null || !hasLimit(upstream)) ? 0 : Math.max(from - this.loop.nowMs(), 0);
	}

	/**
	 * Acquire a permit to send one request.
	 * @param upstream the upstream
	 * @param maxWaitMs how long the request may wait for its turn, in milliseconds
	 * @param consumer receives the permit or its denial, at once or later
	 */
	public void acquire(UpstreamEntry upstream, long maxWaitMs, Consumer<Permit> consumer) {
		String incarnation = upstream.incarnation();
		Consumer<Permit> listener = (permit) -> {
			this.metrics.onPermit(permit.granted());
			if (!permit.granted()) {
				this.nextPermitMs.put(incarnation, this.loop.nowMs() + permit.waitMs());
			}
			consumer.accept(permit);
		};
		Optional<String> granter = granter();
		if (granter.isEmpty()) {
			listener.accept(Permit.denied(RETRY_DELAY_MS));
		}
		else if (granter.get().equals(this.vm)) {
			listener.accept(grant(incarnation, LeaderRole.PERMIT_GRANTER, maxWaitMs));
		}
		else {
			sendRequest(granter.get(), incarnation, maxWaitMs, listener);
		}
	}

	// Returns the VM that grants permits; empty while it is not known.
	private Optional<String> granter() {
		return this.mesh.filter((peers) -> peers.knownVmCount() > 0)
			.filter((peers) -> peers.watchedRoles().isLeaderKnown(LeaderRole.PERMIT_GRANTER, this.loop.nowMs()))
			.map((peers) -> peers.leader(LeaderRole.PERMIT_GRANTER));
	}

	private void sendRequest(String granter, String incarnation, long maxWaitMs, Consumer<Permit> listener) {
		long number = ++this.lastNumber;
		this.pendingRequests.put(number, new PendingRequest(granter, listener));
		Envelope.Builder request = StatementMessageCodec.encodeRequest(number, this.statements.encodeLimit(incarnation),
				maxWaitMs);
		this.mesh.ifPresent((peers) -> peers.send(granter, request));
		this.loop.schedule(REPLY_TIMEOUT_MS, () -> complete(number, Permit.denied(RETRY_DELAY_MS)));
	}

	private void complete(long number, Permit permit) {
		PendingRequest request = this.pendingRequests.remove(number);
		if (request != null) {
			request.listener.accept(permit);
		}
	}

	private Permit grant(String incarnation, LeaderRole role, long maxWaitMs) {
		OptionalDouble perSecond = this.statements.limitPerSecond(incarnation);
		if (perSecond.isEmpty()) {
			return Permit.UNLIMITED;
		}
		return this.rateLimiter.acquire(incarnation, perSecond.getAsDouble(), rateShare(role), maxWaitMs,
				this.loop.nowMs());
	}

	private double rateShare(LeaderRole role) {
		return this.mesh.map((peers) -> peers.shareOfRate(role)).orElse(0.0);
	}

	@Override
	public boolean mayCall(UpstreamEntry worker) {
		OptionalDouble perSecond = this.statements.limitPerSecond(worker);
		return perSecond.isEmpty() || this.rateLimiter.isAvailable(worker.incarnation(), perSecond.getAsDouble(),
				rateShare(LeaderRole.poolDispatcher(worker.service())), this.loop.nowMs());
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
			onPermitRequest(from, message.getLimitAsk());
		}
		else if (message.hasLimitAnswer()) {
			onPermitReply(from, message.getLimitAnswer());
		}
	}

	// The requester may know a later limit than this VM, or see another VM as the
	// leader.
	private void onPermitRequest(String from, LimitAsk request) {
		String incarnation = request.getLimit().getIncarnation();
		this.statements.mergeRemoteLimit(from, request.getLimit());
		boolean grantsHere = granter().filter(this.vm::equals).isPresent();
		Permit permit = grantsHere
				? grant(incarnation, LeaderRole.PERMIT_GRANTER, Integer.toUnsignedLong(request.getPatienceMs()))
				: Permit.denied(RETRY_DELAY_MS);
		Envelope.Builder reply = StatementMessageCodec.encodeReply(request.getNumber(), permit,
				this.statements.encodeLimit(incarnation));
		this.mesh.ifPresent((peers) -> peers.reply(from, reply));
	}

	private void onPermitReply(String from, LimitAnswer reply) {
		this.statements.mergeRemoteLimit(from, reply.getLimit());
		complete(reply.getNumber(), new Permit(reply.getGranted(), Integer.toUnsignedLong(reply.getWaitMs())));
	}

	@Override
	public void onPeerFailed(String failedVm) {
		Map<Long, PendingRequest> requests = new HashMap<>(this.pendingRequests);
		requests.forEach((number, request) -> {
			if (request.granter.equals(failedVm)) {
				complete(number, Permit.denied(RETRY_DELAY_MS));
			}
		});
	}

	/** Drop expired state. Must be called periodically. */
	public void expire() {
		this.rateLimiter.expire(this.loop.nowMs());
		this.nextPermitMs.values().removeIf((from) -> from <= this.loop.nowMs());
	}

	/**
	 * A permit request without a reply so far.
	 *
	 * @param granter the VM that was asked
	 * @param listener receives the permit
	 */
	private record PendingRequest(String granter, Consumer<Permit> listener) {
	}

}
