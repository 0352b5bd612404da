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
 * What upstreams say of themselves in their replies. The limits that they name, and that
 * they leave, is known at all VMs: whichever VM hears it tells the others at once; a VM
 * that starts is told before it learns which upstreams there are. The platform's store is
 * not needed for it, and may be away. A rest is asked of one VM, and no other is told.
 * <p>
 * Not thread-safe: belongs to the event loop.
 *
 * @since 0.1
 */
public final class UpstreamStatements implements PeerMessageHandler {

	/** An upstream that is not the one that was meant says nothing of the one meant. */
	private static final int MISDIRECTED = 421;

	private final StatedLimits named = new StatedLimits();

	// By incarnation, what it has last said so that it cannot be read.
	private final Map<String, Set<StatementKind>> unreadable = new HashMap<>();

	private final EventLoop loop;

	private final Supplier<HybridTimestamp> clock;

	private final NodeLog log;

	private final NodeMetrics metrics;

	private final UpstreamDirectory directory;

	private final UnavailabilityRegistry absences;

	private final NoticeDistributor spread;

	private final Runnable onDuties;

	/**
	 * Create the statements that a process knows.
	 * @param loop the event loop
	 * @param clock stamps what is heard; the same that stamps messages to other VMs
	 * @param log where changes are written
	 * @param metrics what is counted
	 * @param directory tells which upstreams exist
	 * @param spread the way to the other VMs
	 * @param onDuties runs after each change of the duties that matter to this VM
	 */
	public UpstreamStatements(EventLoop loop, Supplier<HybridTimestamp> clock, NodeLog log, NodeMetrics metrics,
			UpstreamDirectory directory, NoticeDistributor spread, Runnable onDuties) {
		this.loop = loop;
		this.clock = clock;
		this.log = log;
		this.metrics = metrics;
		this.directory = directory;
		this.absences = directory.unavailability();
		this.spread = spread;
		this.onDuties = onDuties;
		spread.onSubscriber(this::tellAll);
	}

	/**
	 * Return the duties of VMs that this one may ask.
	 * @return none while no upstream has named a limit
	 */
	public List<LeaderRole> duties() {
		return this.named.isEmpty() ? List.of() : List.of(LeaderRole.PERMIT_GRANTER);
	}

	/**
	 * Take what a reply says. To be called for each.
	 * @param upstream who was asked
	 * @param reply the reply
	 */
	public void onReply(UpstreamEntry upstream, UpstreamReply reply) {
		if (reply.status() == MISDIRECTED) {
			return;
		}
		onLimit(upstream, reply);
		if (readable(upstream, StatementKind.LEAVING, reply.draining()) && reply.draining().value().orElse(false)) {
			onLeaving(upstream.incarnation(), "reply");
		}
		if (readable(upstream, StatementKind.REST, reply.retryAfterMs())) {
			reply.retryAfterMs().value().ifPresent((ms) -> onRest(upstream, ms));
		}
	}

	private void onLimit(UpstreamEntry upstream, UpstreamReply reply) {
		Optional<Double> limit = reply.maxRequestsPerSecond().value();
		// A failure may come from what stands before the upstream, which knows no limit.
		boolean tells = limit.isPresent() || reply.success();
		if (readable(upstream, StatementKind.LIMIT, reply.maxRequestsPerSecond()) && tells) {
			onLimit(upstream.incarnation(),
					limit.isPresent() ? OptionalDouble.of(limit.get()) : OptionalDouble.empty());
		}
	}

	// An upstream that goes on to say what cannot be read gets no line of its own for
	// each reply.
	private boolean readable(UpstreamEntry upstream, StatementKind kind, ParsedField<?> stated) {
		if (stated.isMalformed()) {
			this.metrics.onUnreadableStatement(kind);
			if (this.unreadable.computeIfAbsent(upstream.incarnation(), (key) -> EnumSet.noneOf(StatementKind.class))
				.add(kind)) {
				this.log.event(EventCode.UPSTREAM_STATEMENT_UNREADABLE, "upstream", upstream.id(), "statement", kind);
			}
			return false;
		}
		if (stated.value().isPresent() && !this.unreadable.isEmpty()) {
			Optional.ofNullable(this.unreadable.get(upstream.incarnation())).ifPresent((kinds) -> kinds.remove(kind));
		}
		return true;
	}

	private void onLeaving(String incarnation, String by) {
		if (this.absences.onDraining(incarnation, this.loop.nowMs())) {
			this.log.event(EventCode.UPSTREAM_LEAVES, "upstream", incarnation, "by", by);
			spread(StatementMessageCodec.notice(Map.of(), Set.of(incarnation)));
		}
	}

	private void spread(Envelope.Builder news) {
		this.spread.sendUp(news.clone());
		this.spread.sendDown(news);
	}

	private void onRest(UpstreamEntry upstream, long ms) {
		if (this.absences.onBackoff(upstream.incarnation(), ms, this.loop.nowMs())) {
			this.log.event(EventCode.UPSTREAM_RESTS, "upstream", upstream.incarnation(), "ms", ms);
		}
	}

	private void onLimit(String incarnation, OptionalDouble perSecond) {
		if (perSecond.isPresent() || this.named.perSecond(incarnation).isPresent()) {
			hear(incarnation, new StatedLimits.LimitStatement(perSecond, this.clock.get()), "reply");
		}
	}

	private void hear(String incarnation, StatedLimits.LimitStatement fresh, String by) {
		OptionalDouble before = this.named.perSecond(incarnation);
		if (!this.named.merge(incarnation, fresh.perSecond(), fresh.statedAt(), this.loop.nowMs())) {
			return;
		}
		this.log.event(EventCode.UPSTREAM_LIMIT_CHANGED, "upstream", incarnation, "by", by, "per_second",
				text(fresh.perSecond()), "before", text(before));
		this.onDuties.run();
		spread(StatementMessageCodec.notice(Map.of(incarnation, fresh), Set.of()));
	}

	private void tellAll(String follower) {
		if (knowsNews()) {
			this.spread.sendTo(follower, composite());
		}
	}

	private boolean knowsNews() {
		return !this.named.isEmpty() || !this.absences.drainingIncarnations().isEmpty();
	}

	private Envelope.Builder composite() {
		return StatementMessageCodec.notice(this.named.snapshot(), this.absences.drainingIncarnations());
	}

	/**
	 * Take note that a request is sent. To be called for each.
	 * @param upstream where
	 */
	public void onSend(UpstreamEntry upstream) {
		if (perSecond(upstream).isPresent()) {
			this.metrics.onSendToLimited();
		}
		if (acceptsInMs(upstream) > 0) {
			this.metrics.onSendToAbsent();
		}
	}

	/**
	 * Return when an upstream takes requests from this VM, by its own word.
	 * @param upstream the upstream
	 * @return milliseconds; 0 if it takes them now, {@link UnavailabilityRegistry#NEVER}
	 * if it leaves
	 */
	public long acceptsInMs(UpstreamEntry upstream) {
		return this.absences.isEmpty() ? 0 : this.absences.acceptsInMs(upstream.incarnation(), this.loop.nowMs());
	}

	/**
	 * Return an upstream's limit.
	 * @param upstream the upstream
	 * @return requests a second from all VMs together; empty if it has named none
	 */
	public OptionalDouble perSecond(UpstreamEntry upstream) {
		return this.named.isEmpty() ? OptionalDouble.empty() : this.named.perSecond(upstream.incarnation());
	}

	OptionalDouble perSecond(String incarnation) {
		return this.named.perSecond(incarnation);
	}

	// What is known of an upstream, for a message.
	UpstreamLimit encoded(String incarnation) {
		return StatementMessageCodec.encode(incarnation, this.named.latest(incarnation));
	}

	// What another VM knows of an upstream.
	void learn(String from, UpstreamLimit limit) {
		hear(limit.getIncarnation(), StatementMessageCodec.decode(limit), from);
	}

	/**
	 * Return an upstream's limit as a log line shows it.
	 * @param upstream the upstream
	 * @return the requests a second, or none
	 */
	public String limitText(UpstreamEntry upstream) {
		return text(perSecond(upstream));
	}

	private static String text(OptionalDouble perSecond) {
		return perSecond.isPresent() ? String.valueOf(perSecond.getAsDouble()) : "none";
	}

	/**
	 * Return how many upstreams have a limit, as this VM knows.
	 * @return the count
	 */
	public long limited() {
		return this.named.count();
	}

	/**
	 * Return how many upstreams have said that they leave, as this VM knows.
	 * @return the count, with some that are gone
	 */
	public long leaving() {
		return this.absences.drainingIncarnations().size();
	}

	/**
	 * Return how many upstreams want no requests from this VM for a time.
	 * @return the count
	 */
	public long resting() {
		return this.absences.backoffCount(this.loop.nowMs());
	}

	/**
	 * Tell a new source what the former one was told, and drop what is of no use any
	 * more. To be called now and then.
	 */
	public void tick() {
		if (this.unreadable.isEmpty() && this.absences.isEmpty() && this.named.isEmpty()) {
			return;
		}
		Set<String> listed = this.directory.incarnations();
		this.unreadable.keySet().retainAll(listed);
		this.absences.expire(listed::contains, this.loop.nowMs());
		boolean limited = !this.named.isEmpty();
		this.named.expire(listed::contains, this.loop.nowMs());
		if (knowsNews() && this.spread.takeReceiverChange()) {
			this.spread.sendUp(composite());
		}
		if (limited && this.named.isEmpty()) {
			this.onDuties.run();
		}
	}

	@Override
	public void onMessage(String from, Envelope message) {
		if (message.hasStatementNotice()) {
			this.spread.addReporter(from);
			message.getStatementNotice().getLimitsList().forEach((limit) -> learn(from, limit));
			message.getStatementNotice().getLeavingList().forEach((incarnation) -> onLeaving(incarnation, from));
		}
	}

	@Override
	public void onLost(String vm) {
		this.spread.onLost(vm);
	}

}
