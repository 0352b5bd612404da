package org.tallycart.node.statement;

import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Supplier;

import org.tallycart.core.fleet.LeaderRole;
import org.tallycart.core.limit.RejectionControl;
import org.tallycart.core.limit.StatedLimits;
import org.tallycart.core.serving.ParsedField;
import org.tallycart.core.serving.UpstreamEntry;
import org.tallycart.core.serving.UpstreamReply;
import org.tallycart.core.time.HybridTimestamp;
import org.tallycart.core.upstream.UnavailabilityRegistry;
import org.tallycart.core.upstream.UpstreamDirectory;
import org.tallycart.node.EventLoop;
import org.tallycart.node.log.NodeLog;
import org.tallycart.node.metrics.NodeMetrics;
import org.tallycart.node.peer.NoticeDistributor;
import org.tallycart.node.peer.PeerMessageHandler;
import org.tallycart.runtime.event.EventCode;
import org.tallycart.wire.message.Envelope;
import org.tallycart.wire.message.UpstreamLimit;

/**
 * Statements that upstreams make about themselves in their replies. Stated limits and
 * draining are distributed to all VMs: the VM that receives such a statement sends it to
 * the others at once, and a VM that starts receives it before it learns of the upstreams.
 * This works without the platform's store. A backoff concerns only the VM that was asked
 * for it, and is not distributed.
 * <p>
 * Not thread-safe: confined to the event loop.
 *
 * @since 0.1
 */
public final class UpstreamStatements implements PeerMessageHandler {

	/** HTTP status of a reply that comes from another upstream than the addressed one. */
	private static final int MISDIRECTED = 421;

	private final StatedLimits limits = new StatedLimits();

	private final RejectionControl rejections = new RejectionControl();

	// Kinds of the statements that were last malformed, by incarnation.
	private final Map<String, Set<StatementKind>> malformed = new HashMap<>();

	private final EventLoop loop;

	private final Supplier<HybridTimestamp> clock;

	private final NodeLog log;

	private final NodeMetrics metrics;

	private final UpstreamDirectory directory;

	private final UnavailabilityRegistry unavailability;

	private final NoticeDistributor distributor;

	private final Runnable onRolesChanged;

	/**
	 * Create the statements of a process.
	 * @param loop the event loop
	 * @param clock stamps statements; the same clock that stamps messages to other VMs
	 * @param log the log for changes
	 * @param metrics the metrics of this process
	 * @param directory the directory of upstreams
	 * @param distributor distributes notices to the other VMs
	 * @param onRolesChanged runs after each change of {@link #watchedRoles()}
	 */
	public UpstreamStatements(EventLoop loop, Supplier<HybridTimestamp> clock, NodeLog log, NodeMetrics metrics,
			UpstreamDirectory directory, NoticeDistributor distributor, Runnable onRolesChanged) {
		this.loop = loop;
		this.clock = clock;
		this.log = log;
		this.metrics = metrics;
		this.directory = directory;
		this.unavailability = directory.unavailability();
		this.distributor = distributor;
		this.onRolesChanged = onRolesChanged;
		distributor.onSubscriber(this::sendAll);
	}

	/**
	 * Return the leader roles whose leaders this VM may ask for permits.
	 * @return an empty list while no upstream has stated a limit
	 */
	public List<LeaderRole> watchedRoles() {
		return this.limits.isEmpty() ? List.of() : List.of(LeaderRole.PERMIT_GRANTER);
	}

	/**
	 * Process the statements in a reply. Must be called for each reply.
	 * @param upstream the upstream that was addressed
	 * @param reply the reply
	 */
	public void onReply(UpstreamEntry upstream, UpstreamReply reply) {
		if (reply.status() == MISDIRECTED) {
			return;
		}
		isWellFormed(upstream, StatementKind.SPEED, reply.slowdown());
		if (isBrittle(upstream, reply)) {
			onBrittleReply(upstream.incarnation(), reply);
		}
		else {
			onLimit(upstream, reply);
		}
		if (isWellFormed(upstream, StatementKind.LEAVING, reply.draining()) && reply.draining().value().orElse(false)) {
			onDraining(upstream.incarnation(), "reply");
		}
		if (isWellFormed(upstream, StatementKind.REST, reply.retryAfterMs())) {
			reply.retryAfterMs().value().ifPresent((ms) -> onBackoff(upstream, ms));
		}
	}

	// A limit that the upstream states itself goes first.
	private boolean isBrittle(UpstreamEntry upstream, UpstreamReply reply) {
		return isWellFormed(upstream, StatementKind.BRITTLE, reply.maxRejectionsPerSecond())
				&& reply.maxRejectionsPerSecond().value().isPresent() && reply.maxRequestsPerSecond().value().isEmpty();
	}

	private void onBrittleReply(String incarnation, UpstreamReply reply) {
		OptionalDouble current = this.limits.perSecond(incarnation);
		long now = this.loop.nowMs();
		if (reply.notRun() && reply.retryAfterMs().value().isEmpty()) {
			double tolerated = reply.maxRejectionsPerSecond().value().orElseThrow();
			this.rejections.onRejection(incarnation, tolerated, current, now)
				.ifPresent((perSecond) -> onLimit(incarnation, OptionalDouble.of(perSecond)));
		}
		else if (reply.success() && current.isPresent()) {
			this.rejections.onServed(incarnation, current.getAsDouble(), now)
				.ifPresent((perSecond) -> onLimit(incarnation, perSecond));
		}
	}

	private void onLimit(UpstreamEntry upstream, UpstreamReply reply) {
		Optional<Double> limit = reply.maxRequestsPerSecond().value();
		// A failure may come from a proxy in front of the upstream, which knows no limit.
		boolean conclusive = limit.isPresent() || reply.success();
		if (isWellFormed(upstream, StatementKind.LIMIT, reply.maxRequestsPerSecond()) && conclusive) {
			onLimit(upstream.incarnation(),
					limit.isPresent() ? OptionalDouble.of(limit.get()) : OptionalDouble.empty());
		}
	}

	// Logged once until the statement is well-formed again, not for each reply.
	private boolean isWellFormed(UpstreamEntry upstream, StatementKind kind, ParsedField<?> field) {
		if (field.isMalformed()) {
			this.metrics.onMalformedStatement(kind);
			if (this.malformed.computeIfAbsent(upstream.incarnation(), (key) -> EnumSet.noneOf(StatementKind.class))
				.add(kind)) {
				this.log.event(EventCode.UPSTREAM_STATEMENT_UNREADABLE, "upstream", upstream.id(), "statement", kind);
			}
			return false;
		}
		if (field.value().isPresent() && !this.malformed.isEmpty()) {
			Optional.ofNullable(this.malformed.get(upstream.incarnation())).ifPresent((kinds) -> kinds.remove(kind));
		}
		return true;
	}

	private void onDraining(String incarnation, String source) {
		if (this.unavailability.onDraining(incarnation, this.loop.nowMs())) {
			this.log.event(EventCode.UPSTREAM_LEAVES, "upstream", incarnation, "by", source);
			distribute(StatementMessageCodec.encodeNotice(Map.of(), Set.of(incarnation)));
		}
	}

	private void distribute(Envelope.Builder notice) {
		this.distributor.sendUp(notice.clone());
		this.distributor.sendDown(notice);
	}

	private void onBackoff(UpstreamEntry upstream, long ms) {
		if (this.unavailability.onBackoff(upstream.incarnation(), ms, this.loop.nowMs())) {
			this.log.event(EventCode.UPSTREAM_RESTS, "upstream", upstream.incarnation(), "ms", ms);
		}
	}

	private void onLimit(String incarnation, OptionalDouble perSecond) {
		if (perSecond.isPresent() || this.limits.perSecond(incarnation).isPresent()) {
			mergeLimit(incarnation, new StatedLimits.LimitStatement(perSecond, this.clock.get()), "reply");
		}
	}

	private void mergeLimit(String incarnation, StatedLimits.LimitStatement statement, String source) {
		OptionalDouble previous = this.limits.perSecond(incarnation);
		if (!this.limits.merge(incarnation, statement.perSecond(), statement.statedAt(), this.loop.nowMs())) {
			return;
		}
		this.rejections.onChange(incarnation, previous, statement.perSecond(), this.loop.nowMs());
		this.log.event(EventCode.UPSTREAM_LIMIT_CHANGED, "upstream", incarnation, "by", source, "per_second",
				format(statement.perSecond()), "before", format(previous));
		this.onRolesChanged.run();
		distribute(StatementMessageCodec.encodeNotice(Map.of(incarnation, statement), Set.of()));
	}

	private void sendAll(String subscriber) {
		if (hasNotice()) {
			this.distributor.sendTo(subscriber, createNotice());
		}
	}

	private boolean hasNotice() {
		return !this.limits.isEmpty() || !this.unavailability.drainingIncarnations().isEmpty();
	}

	private Envelope.Builder createNotice() {
		return StatementMessageCodec.encodeNotice(this.limits.snapshot(), this.unavailability.drainingIncarnations());
	}

	/**
	 * Count a request that is sent. Must be called for each request.
	 * @param upstream the upstream
	 */
	public void onSend(UpstreamEntry upstream) {
		if (limitPerSecond(upstream).isPresent()) {
			this.metrics.onSendToLimited();
		}
		if (acceptsInMs(upstream) > 0) {
			this.metrics.onSendToUnavailable();
		}
	}

	/**
	 * Return the time until an upstream accepts requests from this VM, as it has stated.
	 * @param upstream the upstream
	 * @return milliseconds; 0 if it accepts them now,
	 * {@link UnavailabilityRegistry#NEVER} if it is draining
	 */
	public long acceptsInMs(UpstreamEntry upstream) {
		return this.unavailability.isEmpty() ? 0
				: this.unavailability.acceptsInMs(upstream.incarnation(), this.loop.nowMs());
	}

	/**
	 * Return the limit that an upstream has stated.
	 * @param upstream the upstream
	 * @return requests a second from all VMs together; empty if it has stated none
	 */
	public OptionalDouble limitPerSecond(UpstreamEntry upstream) {
		return this.limits.isEmpty() ? OptionalDouble.empty() : this.limits.perSecond(upstream.incarnation());
	}

	OptionalDouble limitPerSecond(String incarnation) {
		return this.limits.perSecond(incarnation);
	}

	// Returns the latest limit of an upstream, encoded for a message.
	UpstreamLimit encodeLimit(String incarnation) {
		return StatementMessageCodec.encode(incarnation, this.limits.latest(incarnation));
	}

	// Merges a limit that another VM has sent.
	void mergeRemoteLimit(String from, UpstreamLimit limit) {
		mergeLimit(limit.getIncarnation(), StatementMessageCodec.decode(limit), from);
	}

	/**
	 * Return the limit of an upstream as text for a log line.
	 * @param upstream the upstream
	 * @return the requests a second, or {@code none}
	 */
	public String limitText(UpstreamEntry upstream) {
		return format(limitPerSecond(upstream));
	}

	private static String format(OptionalDouble perSecond) {
		return perSecond.isPresent() ? String.valueOf(perSecond.getAsDouble()) : "none";
	}

	/**
	 * Return the number of upstreams with a stated limit.
	 * @return the count, as far as known to this VM
	 */
	public long limitedCount() {
		return this.limits.count();
	}

	/**
	 * Return the number of upstreams that have stated that they are draining.
	 * @return the count, as far as known to this VM; may include removed upstreams
	 */
	public long drainingCount() {
		return this.unavailability.drainingIncarnations().size();
	}

	/**
	 * Return the number of upstreams that have asked this VM to back off.
	 * @return the count
	 */
	public long backoffCount() {
		return this.unavailability.backoffCount(this.loop.nowMs());
	}

	/**
	 * Send the statements to a new source, and drop those of removed upstreams. Must be
	 * called periodically.
	 */
	public void refresh() {
		if (this.malformed.isEmpty() && this.unavailability.isEmpty() && this.limits.isEmpty()) {
			return;
		}
		Set<String> incarnations = this.directory.incarnations();
		this.malformed.keySet().retainAll(incarnations);
		this.unavailability.expire(incarnations::contains, this.loop.nowMs());
		boolean hadLimits = !this.limits.isEmpty();
		this.limits.expire(incarnations::contains, this.loop.nowMs());
		this.rejections.expire(incarnations::contains);
		if (hasNotice() && this.distributor.takeReceiverChange()) {
			this.distributor.sendUp(createNotice());
		}
		if (hadLimits && this.limits.isEmpty()) {
			this.onRolesChanged.run();
		}
	}

	@Override
	public void onMessage(String from, Envelope message) {
		if (message.hasStatementNotice()) {
			this.distributor.addReporter(from);
			message.getStatementNotice().getLimitsList().forEach((limit) -> mergeRemoteLimit(from, limit));
			message.getStatementNotice().getLeavingList().forEach((incarnation) -> onDraining(incarnation, from));
		}
	}

	@Override
	public void onPeerFailed(String vm) {
		this.distributor.onPeerFailed(vm);
	}

}
