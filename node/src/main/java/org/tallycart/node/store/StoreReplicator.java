package org.tallycart.node.store;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;

import org.tallycart.core.fleet.LeaderRole;
import org.tallycart.core.fleet.LeaderView;
import org.tallycart.core.fleet.StoreSourceChooser;
import org.tallycart.core.fleet.VmRecord;
import org.tallycart.core.ini.Address;
import org.tallycart.core.serving.NodeSettings;
import org.tallycart.core.upstream.UpstreamDirectory;
import org.tallycart.node.EventLoop;
import org.tallycart.node.log.NodeLog;
import org.tallycart.node.peer.DistributionTree;
import org.tallycart.node.peer.HeartbeatHandler;
import org.tallycart.node.peer.PeerMesh;
import org.tallycart.platform.store.ConfigDecoder;
import org.tallycart.platform.store.Evacuations;
import org.tallycart.platform.store.FeedListener;
import org.tallycart.platform.store.ObjectClient;
import org.tallycart.platform.store.ObjectFeed;
import org.tallycart.platform.store.ObjectSource;
import org.tallycart.platform.store.QuarantineRecords;
import org.tallycart.platform.store.UpstreamDecoder;
import org.tallycart.platform.store.VmRecords;
import org.tallycart.runtime.event.EventCode;
import org.tallycart.wire.message.Envelope;
import org.tallycart.wire.message.Feed;
import org.tallycart.wire.message.FeedRevision;
import org.tallycart.wire.message.FeedUpdate;
import org.tallycart.wire.message.NodeBeat;

/**
 * Learns the configuration, the upstreams and the other VMs' records: from the platform's
 * store, or from the VM that {@link StoreSourceChooser} names; and passes on what it
 * learns to the VMs that look to this one.
 * <p>
 * While the store is away, what was read last stays in force. Not thread-safe: belongs to
 * the event loop.
 *
 * @since 0.1
 */
public final class StoreReplicator implements HeartbeatHandler, DistributionTree {

	/**
	 * Time between two readings of the other VMs' records, in milliseconds: a new VM is
	 * known to all within about two seconds.
	 */
	private static final long RECORDS_MS = 1_000;

	/**
	 * VMs of a failure domain that are told what they do not follow: one, and a spare.
	 */
	private static final int RELAYS = 2;

	/** Time between two looks at whom to follow, in milliseconds. */
	private static final long REVIEW_MS = 200;

	/**
	 * Time between two looks at whether the store answers, in milliseconds, while others
	 * follow this VM; see {@link StoreSourceChooser}.
	 */
	private static final long PROBE_FOR_OTHERS_MS = 400;

	/** The same while no other does. */
	private static final long PROBE_MS = 1_000;

	/**
	 * When to leave this VM's record in the store is tried again, in milliseconds.
	 */
	private static final long PUBLISH_RETRY_MS = 1_000;

	/**
	 * A record that is older than this is in each copy that the store may come back from,
	 * in milliseconds: copies are seconds old.
	 */
	private static final long COPY_AGE_MS = 60_000;

	private final NodeSettings settings;

	private final StoreSourceChooser chooser;

	private final Runnable onDuties;

	private final EventLoop loop;

	private final NodeLog log;

	private final VmRecords records;

	private final FeedReplica vms;

	private final List<FeedReplica> kinds;

	private final Subscribers subscribers = new Subscribers();

	private Optional<PeerMesh> mesh = Optional.empty();

	private List<LeaderRole> duties;

	private final List<Consumer<String>> onFollower = new ArrayList<>();

	private boolean missed;

	private boolean askedInVain;

	private long probedMs;

	private Runnable onNewEra = () -> {
	};

	private Optional<VmRecord> own = Optional.empty();

	private long recordedMs;

	private long era;

	/**
	 * Create a link.
	 * @param settings names this VM
	 * @param client makes the calls
	 * @param loop the event loop
	 * @param log where changes are written
	 * @param known takes what is learned
	 * @param onChange runs after each change of it
	 * @param onDuties runs after each change of the duties that matter to this VM
	 */
	public StoreReplicator(NodeSettings settings, ObjectClient client, EventLoop loop, NodeLog log,
			ReplicatedState known, Runnable onChange, Runnable onDuties) {
		this.settings = settings;
		this.chooser = new StoreSourceChooser(settings.vm(), settings.failureDomain());
		this.duties = List.of(LeaderRole.domainRelay(settings.failureDomain()));
		this.onDuties = onDuties;
		this.loop = loop;
		this.log = log;
		this.records = new VmRecords(client);
		client.onEra((from, to) -> onEra(to, "the store"));
		this.vms = kind(Feed.VMS, new VmRecordSink(log, this::onRecords), (listener) -> new ObjectFeed(client,
				loop.executor(), VmRecords.KIND, OptionalLong.of(RECORDS_MS), listener));
		this.kinds = new ArrayList<>();
		UpstreamDirectory directory = known.directory();
		follow(client, Feed.CONFIGURATION, ConfigDecoder.KIND, new ConfigSink(known.config(), log, onChange));
		follow(client, Feed.UPSTREAMS, UpstreamDecoder.KIND,
				new UpstreamSink(directory, loop, log, known.metrics(), onChange));
		if (settings.evacuationsEnabled()) {
			directory.expectEvacuations();
			follow(client, Feed.EVACUATIONS, Evacuations.KIND, new EvacuationSink(directory, log, onChange));
		}
		follow(client, Feed.QUARANTINE, QuarantineRecords.KIND, new QuarantineSink(known.quarantine(), loop, log));
		this.kinds.add(this.vms);
	}

	private void follow(ObjectClient client, Feed feed, String kind, ObjectSink sink) {
		this.kinds.add(kind(feed, sink, (listener) -> watch(client, kind, listener)));
	}

	private ObjectFeed watch(ObjectClient client, String kind, FeedListener listener) {
		return new ObjectFeed(client, this.loop.executor(), kind, OptionalLong.empty(), listener);
	}

	private FeedReplica kind(Feed feed, ObjectSink sink, Function<FeedListener, ObjectSource> source) {
		return new FeedReplica(feed, sink, source, this.loop, this.log, this::onContact, this::publish);
	}

	/**
	 * Return the duties of VMs that this one may be told by.
	 * @return one or two duties
	 */
	public List<LeaderRole> duties() {
		return this.duties;
	}

	/**
	 * Begin to follow.
	 * @param peers the other VMs
	 * @param address where this VM accepts them
	 */
	public void start(PeerMesh peers, Address address) {
		this.mesh = Optional.of(peers);
		this.chooser.start(this.loop.nowMs());
		VmRecord record = new VmRecord(this.settings.vm(), address, this.settings.failureDomain(),
				this.settings.capacity());
		this.own = Optional.of(record);
		publish(record, this::onFirstPublished);
		this.loop.scheduleWithFixedDelay(REVIEW_MS, this::review);
	}

	// Tries until it is done.
	private void publish(VmRecord own, Runnable onDone) {
		this.records.publish(own, (done) -> {
			if (done) {
				this.recordedMs = this.loop.nowMs();
				onDone.run();
			}
			else {
				this.loop.schedule(PUBLISH_RETRY_MS, () -> publish(own, onDone));
			}
		});
	}

	private void onFirstPublished() {
		this.vms.follow();
		this.chooser.onRecordWritten(this.loop.nowMs());
	}

	private void onRecords(Collection<VmRecord> all) {
		this.mesh.ifPresent((peers) -> peers.updateRecords(all));
		if (this.chooser.source().isEmpty()) {
			this.loop.execute(this::review);
		}
	}

	private void review() {
		this.mesh.ifPresent((peers) -> review(peers.duties(), this.loop.nowMs()));
	}

	private void review(LeaderView view, long now) {
		this.chooser.setHasSubscribers(!this.subscribers.current(now).isEmpty());
		updateDuties(this.chooser.watchedRoles(view, now));
		boolean serving = this.kinds.stream().allMatch(FeedReplica::known);
		StoreSourceChooser.Action step = this.chooser.review(view, serving, this.vms.known(), now);
		switch (step) {
			case PROBE -> this.records.probe((answered) -> onRequest(answered, now));
			case READ_STORE -> {
				this.log.event(EventCode.STORE_FOLLOWED, "by", this.chooser.source(), "unfit",
						this.chooser.preferredSource(view, now));
				this.kinds.forEach(FeedReplica::follow);
			}
			case SUBSCRIBE -> {
				this.log.event(EventCode.STORE_FOLLOWED, "by", this.chooser.source());
				this.kinds.forEach(FeedReplica::stopFollowing);
			}
			case KEEP -> {
				// The usual case: the source is as good as it was.
			}
		}
		if (readsStore()) {
			probeIfDue(now);
		}
		if (this.askedInVain && this.chooser.hasFreshSource()) {
			this.askedInVain = false;
			this.kinds.forEach(FeedReplica::onTold);
		}
	}

	// Entries that vanish while nobody tells this VM what the store says are not trusted.
	private void onRequest(boolean answered, long sentMs) {
		if (answered) {
			this.chooser.onProbeSuccess(sentMs);
			review();
		}
		else if (!readsStore()) {
			this.askedInVain = true;
			this.chooser.onProbeFailure();
			this.kinds.forEach(FeedReplica::onSilent);
		}
	}

	private void updateDuties(List<LeaderRole> fresh) {
		if (!fresh.equals(this.duties)) {
			this.duties = fresh;
			this.onDuties.run();
		}
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
			this.chooser.onStoreRead(sentMs);
			if (this.missed && readsStore()) {
				this.kinds.forEach(FeedReplica::follow);
			}
		}
		this.missed = !answered;
	}

	private void onContact() {
		this.chooser.onStoreRead(this.loop.nowMs());
	}

	private void publish(FeedUpdate update) {
		sendToSubscribers(Envelope.newBuilder().setFeedUpdate(update).build());
	}

	@Override
	public void sendToSubscribers(Envelope message) {
		this.mesh.ifPresent((peers) -> this.subscribers.current(this.loop.nowMs())
			.forEach((vm) -> peers.reply(vm, message.toBuilder())));
	}

	@Override
	public void onSubscriber(Consumer<String> listener) {
		this.onFollower.add(listener);
	}

	@Override
	public String storeReader() {
		return this.mesh.map((peers) -> peers.holder(LeaderRole.STORE_READER)).orElse(this.settings.vm());
	}

	@Override
	public Set<String> relays() {
		return this.mesh.map((peers) -> peers.preferredSources(RELAYS)).orElse(Set.of());
	}

	@Override
	public String source() {
		return this.chooser.source();
	}

	@Override
	public void prepareRequest(String vm, NodeBeat.Builder question) {
		if (!readsStore() && wanted().equals(vm)) {
			question.setSubscribes(true);
			this.kinds.forEach((kind) -> question.addKnown(kind.question()));
		}
	}

	private String wanted() {
		return this.mesh.map((peers) -> this.chooser.preferredSource(peers.duties(), this.loop.nowMs())).orElse("");
	}

	@Override
	public void onRequest(String vm, NodeBeat question, NodeBeat.Builder answer) {
		long now = this.loop.nowMs();
		if (this.chooser.canRelay(now)) {
			answer.setPassesOn(true).setStoreAgeMs((int) this.chooser.storeAgeMs(now));
		}
		if (question.getSubscribes()) {
			if (this.subscribers.onAsked(vm, now)) {
				this.onFollower.forEach((listener) -> listener.accept(vm));
			}
			question.getKnownList().forEach((known) -> sendMissing(vm, known, now));
		}
	}

	private void sendMissing(String vm, FeedRevision known, long now) {
		for (FeedReplica kind : this.kinds) {
			if (kind.lackedBy(known) && this.subscribers.sendWhole(vm, kind.feed(), now)) {
				this.mesh.ifPresent((peers) -> peers.reply(vm, Envelope.newBuilder().setFeedUpdate(kind.whole())));
			}
		}
	}

	@Override
	public void onReply(String vm, NodeBeat answer) {
		this.chooser.onAnswer(vm, answer.getPassesOn(), Integer.toUnsignedLong(answer.getStoreAgeMs()),
				this.loop.nowMs());
	}

	@Override
	public void onFeedUpdate(FeedUpdate update) {
		onEra(update.getEra(), "a VM that passes it on");
		this.kinds.stream().filter((kind) -> kind.feed() == update.getFeed()).forEach((kind) -> kind.onUpdate(update));
	}

	// What this VM wrote lately may be gone, and is written again by this VM. A change
	// that
	// is noticed in one kind's answer concerns all kinds.
	private void onEra(long to, String by) {
		if (to <= this.era) {
			return;
		}
		this.log.event(EventCode.STORE_ERA_CHANGED, "from", this.era, "to", to, "by", by);
		boolean first = this.kinds.stream().noneMatch(FeedReplica::known);
		this.era = to;
		if (first) {
			return;
		}
		this.onNewEra.run();
		if (this.loop.nowMs() - this.recordedMs < COPY_AGE_MS) {
			this.own.ifPresent((record) -> publish(record, () -> {
			}));
		}
		if (readsStore()) {
			this.loop.execute(() -> this.kinds.forEach((kind) -> kind.followSince(to)));
		}
	}

	/**
	 * Hear of the store's return from an older copy.
	 * @param listener runs after each; what this VM wrote there may be gone
	 */
	public void onNewEra(Runnable listener) {
		this.onNewEra = listener;
	}

	/**
	 * Return how often the store has come back from an older copy.
	 * @return the count, as far as this VM was told
	 */
	public long era() {
		return this.era;
	}

	/**
	 * Return how many objects this VM believes although the store, since it came back
	 * from an older copy, holds others.
	 * @return the count
	 */
	public long keptAgainstCopy() {
		return this.kinds.stream().mapToLong(FeedReplica::kept).sum();
	}

	/**
	 * Return whether this VM follows the store itself and its last question went
	 * unanswered.
	 * @return true if the store cannot be reached
	 */
	public boolean missed() {
		return readsStore() && this.missed;
	}

	@Override
	public boolean readsStore() {
		return this.chooser.isReadingStore();
	}

}
