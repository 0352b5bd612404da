package org.tallycart.node.store;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;

import org.tallycart.core.fleet.Duty;
import org.tallycart.core.fleet.VmRecord;
import org.tallycart.core.ini.Address;
import org.tallycart.core.serving.NodeSettings;
import org.tallycart.core.upstream.UpstreamDirectory;
import org.tallycart.node.Loop;
import org.tallycart.node.log.NodeLog;
import org.tallycart.node.peer.BeatListener;
import org.tallycart.node.peer.PeerMesh;
import org.tallycart.platform.store.ConfigDecoder;
import org.tallycart.platform.store.FeedListener;
import org.tallycart.platform.store.ObjectClient;
import org.tallycart.platform.store.ObjectFeed;
import org.tallycart.platform.store.UpstreamDecoder;
import org.tallycart.platform.store.VmRecords;
import org.tallycart.runtime.event.EventCode;
import org.tallycart.wire.message.Envelope;
import org.tallycart.wire.message.Feed;
import org.tallycart.wire.message.FeedRevision;
import org.tallycart.wire.message.FeedUpdate;
import org.tallycart.wire.message.NodeBeat;

/**
 * Learns the configuration, the upstreams and the other VMs' records. One VM of each
 * failure domain follows the platform's store and passes on what it reads, since each
 * call has a price; a VM follows the store itself while it has no such VM that answers
 * and that the store answers.
 * <p>
 * While the store is away, what was read last stays in force. Not thread-safe: belongs to
 * the event loop.
 *
 * @since 0.1
 */
public final class StoreLink implements BeatListener {

	/**
	 * Time between two readings of the other VMs' records, in milliseconds: a new VM is
	 * known to all within about two seconds.
	 */
	private static final long RECORDS_MS = 1_000;

	/**
	 * How long after its record is written a VM waits for a VM that it can follow, in
	 * milliseconds: a record is read and a question answered by then.
	 */
	private static final long FIRST_ANSWERS_MS = 300;

	/** When a VM goes to the store although it could not write its record. */
	private static final long START_MS = 1_000;

	/** Time between two looks at whom to follow, in milliseconds. */
	private static final long REVIEW_MS = 200;

	/**
	 * How long another VM has to be fit to be followed before it is, in milliseconds: the
	 * store's changes have reached it by then.
	 */
	private static final long SETTLE_MS = 1_500;

	/**
	 * Time between two looks at whether the store answers, in milliseconds, while others
	 * follow this VM; see {@link SourceHealth}.
	 */
	private static final long PROBE_FOR_OTHERS_MS = 400;

	/** The same while no other does. */
	private static final long PROBE_MS = 1_000;

	/**
	 * When to leave this VM's record in the store is tried again, in milliseconds.
	 */
	private static final long PUBLISH_RETRY_MS = 1_000;

	private final NodeSettings settings;

	private final Duty duty;

	private final Loop loop;

	private final NodeLog log;

	private final VmRecords records;

	private final FollowedKind vms;

	private final List<FollowedKind> kinds;

	private final Subscribers subscribers = new Subscribers();

	private final Map<String, SourceHealth> sources = new HashMap<>();

	private Optional<PeerMesh> mesh = Optional.empty();

	private String source = "";

	private long decideFromMs;

	private boolean missed;

	private long contactMs;

	private boolean contact;

	private long probedMs;

	/**
	 * Create a link.
	 * @param settings names this VM
	 * @param client makes the calls
	 * @param loop the event loop
	 * @param log where changes are written
	 * @param config takes configurations
	 * @param directory takes upstreams
	 * @param onChange runs after each change of either
	 */
	public StoreLink(NodeSettings settings, ObjectClient client, Loop loop, NodeLog log, ConfigInForce config,
			UpstreamDirectory directory, Runnable onChange) {
		this.settings = settings;
		this.duty = Duty.follow(settings.failureDomain());
		this.loop = loop;
		this.log = log;
		this.records = new VmRecords(client);
		FollowedKind configuration = kind(Feed.CONFIGURATION, new ConfigSink(config, log, onChange),
				(listener) -> watch(client, ConfigDecoder.KIND, listener));
		FollowedKind upstreams = kind(Feed.UPSTREAMS, new UpstreamSink(directory, loop, log, onChange),
				(listener) -> watch(client, UpstreamDecoder.KIND, listener));
		this.vms = kind(Feed.VMS, new RecordSink(log, (all) -> this.mesh.ifPresent((peers) -> peers.know(all))),
				(listener) -> new ObjectFeed(client, loop.executor(), VmRecords.KIND, OptionalLong.of(RECORDS_MS),
						listener));
		this.kinds = List.of(configuration, upstreams, this.vms);
	}

	private ObjectFeed watch(ObjectClient client, String kind, FeedListener listener) {
		return new ObjectFeed(client, this.loop.executor(), kind, OptionalLong.empty(), listener);
	}

	private FollowedKind kind(Feed feed, ObjectSink sink, Function<FeedListener, ObjectFeed> source) {
		return new FollowedKind(feed, sink, source, this.log, this::onContact, this::publish);
	}

	/**
	 * Return the duty of following the store for this VM's failure domain.
	 * @return the duty
	 */
	public Duty duty() {
		return this.duty;
	}

	/**
	 * Begin to follow.
	 * @param peers the other VMs
	 * @param address where this VM accepts them
	 */
	public void start(PeerMesh peers, Address address) {
		this.mesh = Optional.of(peers);
		this.decideFromMs = this.loop.nowMs() + START_MS;
		publish(new VmRecord(this.settings.vm(), address, this.settings.failureDomain(), this.settings.capacity()));
		this.loop.every(REVIEW_MS, this::review);
	}

	private void publish(VmRecord own) {
		this.records.publish(own, (done) -> {
			if (done) {
				this.vms.follow();
				this.decideFromMs = Math.min(this.decideFromMs, this.loop.nowMs() + FIRST_ANSWERS_MS);
			}
			else {
				this.loop.after(PUBLISH_RETRY_MS, () -> publish(own));
			}
		});
	}

	private void review() {
		long now = this.loop.nowMs();
		String holder = holder();
		SourceHealth health = this.sources.computeIfAbsent(holder, (key) -> new SourceHealth());
		long settleMs = following() ? SETTLE_MS : 0;
		if (!health.healthy(now)) {
			if (!following() && now >= this.decideFromMs) {
				follow(holder);
			}
		}
		else if (!this.source.equals(holder) && health.healthyForMs(now) >= settleMs && serving()) {
			followOther(holder);
		}
		if (following()) {
			probeIfDue(now);
		}
	}

	private String holder() {
		return this.mesh.map((peers) -> peers.holder(this.duty)).orElse(this.settings.vm());
	}

	// A VM that serves already needs no lists of its own to be passed changes.
	private boolean serving() {
		return !following() || this.kinds.stream().allMatch(FollowedKind::known);
	}

	private void follow(String unfit) {
		this.source = this.settings.vm();
		this.log.event(EventCode.STORE_FOLLOWED, "by", this.source, "unfit", unfit);
		this.kinds.forEach(FollowedKind::follow);
	}

	private void followOther(String holder) {
		this.source = holder;
		this.decideFromMs = 0;
		this.log.event(EventCode.STORE_FOLLOWED, "by", holder);
		this.kinds.forEach(FollowedKind::stopFollowing);
	}

	private void probeIfDue(long now) {
		long period = this.subscribers.current(now).isEmpty() ? PROBE_MS : PROBE_FOR_OTHERS_MS;
		if (now - this.probedMs < period) {
			return;
		}
		this.probedMs = now;
		this.records.probe((answered) -> onProbed(answered, now));
	}

	private void onProbed(boolean answered, long sentMs) {
		if (answered) {
			this.contact = true;
			this.contactMs = Math.max(this.contactMs, sentMs);
			if (this.missed && following()) {
				this.kinds.forEach(FollowedKind::follow);
			}
		}
		this.missed = !answered;
	}

	private void onContact() {
		this.contact = true;
		this.contactMs = this.loop.nowMs();
	}

	private void publish(FeedUpdate update) {
		this.mesh.ifPresent((peers) -> this.subscribers.current(this.loop.nowMs())
			.forEach((vm) -> peers.answer(vm, Envelope.newBuilder().setFeedUpdate(update))));
	}

	@Override
	public void onAsking(String vm, NodeBeat.Builder question) {
		if (!following() && holder().equals(vm)) {
			question.setSubscribes(true);
			this.kinds.forEach((kind) -> question
				.addKnown(FeedRevision.newBuilder().setFeed(kind.feed()).setRevision(kind.revision())));
		}
	}

	@Override
	public void onAsked(String vm, NodeBeat question, NodeBeat.Builder answer) {
		long now = this.loop.nowMs();
		answer.setFollowsStore(following() && this.contact).setStoreAgeMs((int) (now - this.contactMs));
		if (question.getSubscribes()) {
			this.subscribers.onAsked(vm, now);
			question.getKnownList().forEach((known) -> sendMissing(vm, known, now));
		}
	}

	private void sendMissing(String vm, FeedRevision known, long now) {
		for (FollowedKind kind : this.kinds) {
			boolean lacks = kind.feed() == known.getFeed() && known.getRevision() < kind.revision();
			if (lacks && this.subscribers.sendWhole(vm, kind.feed(), now)) {
				this.mesh.ifPresent((peers) -> peers.answer(vm, Envelope.newBuilder().setFeedUpdate(kind.whole())));
			}
		}
	}

	@Override
	public void onAnswered(String vm, NodeBeat answer) {
		this.sources.computeIfAbsent(vm, (key) -> new SourceHealth()).onAnswer(answer, this.loop.nowMs());
	}

	@Override
	public void onUpdate(FeedUpdate update) {
		this.kinds.stream().filter((kind) -> kind.feed() == update.getFeed()).forEach((kind) -> kind.onUpdate(update));
	}

	/**
	 * Return whether this VM follows the store itself and its last question went
	 * unanswered.
	 * @return true if the store cannot be reached
	 */
	public boolean missed() {
		return following() && this.missed;
	}

	/**
	 * Return whether this VM follows the store itself.
	 * @return false if another VM passes on what it reads
	 */
	public boolean following() {
		return this.source.equals(this.settings.vm());
	}

}
