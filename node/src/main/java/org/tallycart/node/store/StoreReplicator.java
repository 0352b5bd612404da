package org.tallycart.node.store;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;

import org.tallycart.core.fleet.LeaderRole;
import org.tallycart.core.fleet.LeaderView;
import org.tallycart.core.fleet.RecordExchange;
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
import org.tallycart.platform.store.EvacuationOrders;
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
 * Replicates the configuration, the upstreams, the quarantine and the other VMs' records
 * from the platform's store, or from the VM that {@link StoreSourceChooser} selects, and
 * relays updates to its subscribers.
 * <p>
 * During an outage of the store the last replicated state stays active. Not thread-safe:
 * confined to the event loop.
 *
 * @since 0.1
 */
public final class StoreReplicator implements HeartbeatHandler, DistributionTree {

	/**
	 * Interval at which the other VMs' records are read, in milliseconds: a new VM is
	 * known to all within about two seconds.
	 */
	private static final long RECORDS_INTERVAL_MS = 1_000;

	/**
	 * Number of VMs in each failure domain that receive notices directly: the relay and a
	 * standby.
	 */
	private static final int RELAYS_PER_DOMAIN = 2;

	/**
	 * Age up to which the replicated contents of the store are up to date, in
	 * milliseconds; covers the periods of the reader, the relays and the reviews.
	 */
	private static final long UP_TO_DATE_AGE_MS = 2_000;

	/** Interval at which the source is reviewed, in milliseconds. */
	private static final long REVIEW_INTERVAL_MS = 200;

	/**
	 * Time from the start of this VM until it counts as without the store if it has no
	 * source, in milliseconds; longer than the wait for the first source.
	 */
	private static final long START_GRACE_MS = 3_000;

	/**
	 * Interval at which the reader probes the store, in milliseconds; see
	 * {@link StoreSourceChooser}.
	 */
	private static final long PROBE_INTERVAL_MS = 400;

	/**
	 * Delay before a failed write of this VM's record is retried, in milliseconds.
	 */
	private static final long PUBLISH_RETRY_MS = 1_000;

	/**
	 * Age from which a record is part of every backup that the store may be restored
	 * from, in milliseconds; backups are seconds old.
	 */
	private static final long BACKUP_AGE_MS = 60_000;

	private final NodeSettings settings;

	private final StoreSourceChooser chooser;

	private final RecordExchange exchange;

	private final Runnable onRolesChanged;

	private final EventLoop loop;

	private final NodeLog log;

	private final UpstreamDirectory directory;

	private final VmRecords records;

	private final FeedReplica vmReplica;

	private final List<FeedReplica> replicas;

	private final Subscribers subscribers = new Subscribers();

	private Optional<PeerMesh> mesh = Optional.empty();

	private List<LeaderRole> watchedRoles;

	private final List<Consumer<String>> subscriberListeners = new ArrayList<>();

	private boolean probeFailed;

	private long upToDateSinceMs = Long.MAX_VALUE;

	private long lastProbeMs;

	private Runnable rollbackListener = () -> {
	};

	private Optional<VmRecord> ownRecord = Optional.empty();

	private long startedMs;

	private long recordWrittenMs;

	private long era;

	/**
	 * Create a replicator.
	 * @param settings the settings of this VM
	 * @param client the client of the store
	 * @param loop the event loop
	 * @param log the log for changes
	 * @param state receives the replicated objects
	 * @param onChange runs after each change of the configuration, the upstreams or the
	 * evacuations
	 * @param onRolesChanged runs after each change of {@link #watchedRoles()}
	 */
	public StoreReplicator(NodeSettings settings, ObjectClient client, EventLoop loop, NodeLog log,
			ReplicatedState state, Runnable onChange, Runnable onRolesChanged) {
		this.settings = settings;
		this.chooser = new StoreSourceChooser(settings.vm(), settings.failureDomain());
		this.exchange = new RecordExchange(settings.vm());
		this.watchedRoles = List.of(LeaderRole.domainRelay(settings.failureDomain()));
		this.onRolesChanged = onRolesChanged;
		this.loop = loop;
		this.log = log;
		this.directory = state.directory();
		this.records = new VmRecords(client);
		client.setEraListener((from, to) -> onEra(to, "the store"));
		this.vmReplica = createReplica(Feed.VMS, new VmRecordSink(log, this::onRecords),
				(listener) -> new ObjectFeed(client, loop.executor(), VmRecords.KIND,
						OptionalLong.of(RECORDS_INTERVAL_MS), listener));
		this.replicas = new ArrayList<>();
		addReplica(client, Feed.CONFIGURATION, ConfigDecoder.KIND, new ConfigSink(state.config(), log, onChange));
		addReplica(client, Feed.UPSTREAMS, UpstreamDecoder.KIND,
				new UpstreamSink(this.directory, loop, log, state.metrics(), onChange));
		if (settings.evacuationsEnabled()) {
			this.directory.expectEvacuations();
			addReplica(client, Feed.EVACUATIONS, EvacuationOrders.KIND,
					new EvacuationSink(this.directory, log, onChange));
		}
		addReplica(client, Feed.QUARANTINE, QuarantineRecords.KIND, new QuarantineSink(state.quarantine(), loop, log));
		this.replicas.add(this.vmReplica);
	}

	private void addReplica(ObjectClient client, Feed feed, String kind, ObjectSink sink) {
		this.replicas.add(createReplica(feed, sink, (listener) -> createFeed(client, kind, listener)));
	}

	private ObjectFeed createFeed(ObjectClient client, String kind, FeedListener listener) {
		return new ObjectFeed(client, this.loop.executor(), kind, OptionalLong.empty(), listener);
	}

	private FeedReplica createReplica(Feed feed, ObjectSink sink, Function<FeedListener, ObjectSource> source) {
		return new FeedReplica(feed, sink, source, this.loop, this.log, this::onStoreRead, this::publish);
	}

	/**
	 * Return the leader roles whose leaders this VM may subscribe to.
	 * @return one or two roles
	 */
	public List<LeaderRole> watchedRoles() {
		return this.watchedRoles;
	}

	/**
	 * Write this VM's record to the store and start replication.
	 * @param peers the other VMs
	 * @param address the address at which this VM accepts them
	 */
	public void start(PeerMesh peers, Address address) {
		this.mesh = Optional.of(peers);
		this.startedMs = this.loop.nowMs();
		this.chooser.start(this.startedMs);
		VmRecord record = new VmRecord(this.settings.vm(), address, this.settings.failureDomain(),
				this.settings.capacity());
		this.ownRecord = Optional.of(record);
		publish(record, this::onFirstPublished);
		this.loop.scheduleWithFixedDelay(REVIEW_INTERVAL_MS, this::review);
	}

	// Retries until the record is written.
	private void publish(VmRecord record, Runnable onDone) {
		this.records.publish(record, (done) -> {
			if (done) {
				this.recordWrittenMs = this.loop.nowMs();
				onDone.run();
			}
			else {
				this.loop.schedule(PUBLISH_RETRY_MS, () -> publish(record, onDone));
			}
		});
	}

	private void onFirstPublished() {
		this.vmReplica.startReading();
		this.chooser.onRecordWritten(this.loop.nowMs());
	}

	private void onRecords(Collection<VmRecord> all) {
		this.exchange.updateVms(all.stream().map(VmRecord::vm).toList());
		this.mesh.ifPresent((peers) -> peers.updateRecords(all));
		if (this.chooser.source().isEmpty()) {
			this.loop.execute(this::review);
		}
	}

	private void review() {
		this.mesh.ifPresent((peers) -> {
			long now = this.loop.nowMs();
			review(peers.watchedRoles(), now);
			this.exchange.setListLost(this.vmReplica.isReadFailing());
			this.exchange.nextPeer(storeSilenceMs(now), now).ifPresent(peers::contact);
		});
	}

	private long storeSilenceMs(long now) {
		return source().isEmpty() ? now - this.startedMs - START_GRACE_MS + RecordExchange.STORE_SILENCE_MS
				: this.chooser.storeAgeMs(now);
	}

	private void review(LeaderView view, long now) {
		this.chooser.setHasSubscribers(!this.subscribers.current(now).isEmpty());
		updateWatchedRoles(this.chooser.watchedRoles(view, now));
		StoreSourceChooser.Action action = this.chooser.review(view, isLoaded(), this.vmReplica.isLoaded(), now);
		switch (action) {
			case PROBE -> this.records.probe((succeeded) -> onSourceProbed(succeeded, now));
			case READ_STORE -> {
				this.log.event(EventCode.STORE_FOLLOWED, "by", this.chooser.source(), "unfit",
						this.chooser.preferredSource(view, now));
				this.replicas.forEach(FeedReplica::startReading);
			}
			case SUBSCRIBE -> {
				this.log.event(EventCode.STORE_FOLLOWED, "by", this.chooser.source());
				this.replicas.forEach(FeedReplica::stopReading);
			}
			case KEEP -> {
				// The current source is kept.
			}
		}
		updateAge(now);
		if (readsStore()) {
			probeIfDue(now);
		}
	}

	/**
	 * Drop vanished objects that are no longer retained. Must be called several times a
	 * second.
	 */
	public void expire() {
		this.replicas.forEach(FeedReplica::expire);
	}

	/**
	 * Return whether all contents of the store were loaded at least once.
	 * @return true if they were
	 */
	public boolean isLoaded() {
		return this.replicas.stream().allMatch(FeedReplica::isLoaded);
	}

	private void updateAge(long now) {
		boolean upToDate = isLoaded() && this.chooser.storeAgeMs(now) <= UP_TO_DATE_AGE_MS;
		if (!upToDate) {
			this.upToDateSinceMs = Long.MAX_VALUE;
		}
		else if (this.upToDateSinceMs > now) {
			this.upToDateSinceMs = now;
		}
	}

	/**
	 * Return the age of the replicated contents of the store.
	 * @return the time since the store was read, by this VM or its source, in
	 * milliseconds
	 */
	public long ageMs() {
		return this.chooser.storeAgeMs(this.loop.nowMs());
	}

	/**
	 * Return since when the replicated contents of the store have been up to date.
	 * @return the time on the monotonic clock; {@link Long#MAX_VALUE} if they are not
	 */
	public long upToDateSinceMs() {
		updateAge(this.loop.nowMs());
		return this.upToDateSinceMs;
	}

	private void onSourceProbed(boolean succeeded, long sentMs) {
		if (succeeded) {
			this.directory.onStoreAvailable(sentMs, this.loop.nowMs());
			this.chooser.onProbeSuccess(sentMs);
			review();
		}
		else if (!readsStore()) {
			this.chooser.onProbeFailure();
		}
	}

	private void updateWatchedRoles(List<LeaderRole> current) {
		if (!current.equals(this.watchedRoles)) {
			this.watchedRoles = current;
			this.onRolesChanged.run();
		}
	}

	private void probeIfDue(long now) {
		if (now - this.lastProbeMs < PROBE_INTERVAL_MS) {
			return;
		}
		this.lastProbeMs = now;
		this.records.probe((succeeded) -> onProbed(succeeded, now));
	}

	private void onProbed(boolean succeeded, long sentMs) {
		if (succeeded) {
			onStoreRead(sentMs);
			if (this.probeFailed && readsStore()) {
				this.replicas.forEach(FeedReplica::startReading);
			}
		}
		this.probeFailed = !succeeded;
	}

	// Records that the store answered a call that was sent at the given time.
	private void onStoreRead(long sentMs) {
		this.chooser.onStoreRead(sentMs);
		this.directory.onStoreAvailable(sentMs, this.loop.nowMs());
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
		this.subscriberListeners.add(listener);
	}

	@Override
	public String storeReader() {
		return this.mesh.map((peers) -> peers.leader(LeaderRole.STORE_READER)).orElse(this.settings.vm());
	}

	@Override
	public Set<String> relays() {
		return this.mesh.map((peers) -> peers.preferredSources(RELAYS_PER_DOMAIN)).orElse(Set.of());
	}

	@Override
	public String source() {
		return this.chooser.source();
	}

	@Override
	public void prepareRequest(String vm, NodeBeat.Builder request) {
		if (!readsStore() && preferredSource().equals(vm)) {
			request.setSubscribes(true);
			this.replicas.forEach((replica) -> request.addKnown(replica.revision()));
		}
		else if (this.exchange.isActive()) {
			request.addKnown(this.vmReplica.revision());
		}
	}

	private String preferredSource() {
		return this.mesh.map((peers) -> this.chooser.preferredSource(peers.watchedRoles(), this.loop.nowMs()))
			.orElse("");
	}

	@Override
	public void onRequest(String vm, NodeBeat request, NodeBeat.Builder reply) {
		long now = this.loop.nowMs();
		if (this.chooser.canRelay(now)) {
			reply.setPassesOn(true).setStoreAgeMs((int) this.chooser.storeAgeMs(now));
		}
		if (request.getSubscribes()) {
			if (this.subscribers.onRequest(vm, now)) {
				this.subscriberListeners.forEach((listener) -> listener.accept(vm));
			}
			request.getKnownList().forEach((revision) -> sendMissing(vm, revision, now));
		}
		else {
			request.getKnownList()
				.forEach((revision) -> sendRecordsIfBehind(vm, revision, now,
						(peers, records) -> peers.reply(vm, records)));
		}
		if (request.getKnownList().stream().anyMatch(this.vmReplica::differsFrom)) {
			reply.addKnown(this.vmReplica.revision());
		}
	}

	// Returns whether the other VM has an earlier list of the records.
	private boolean sendRecordsIfBehind(String vm, FeedRevision revision, long now,
			BiConsumer<PeerMesh, Envelope.Builder> sender) {
		boolean behind = this.vmReplica.isNeededBy(revision);
		if (behind && this.exchange.markListIfDue(vm, now)) {
			this.mesh.ifPresent(
					(peers) -> sender.accept(peers, Envelope.newBuilder().setFeedUpdate(this.vmReplica.snapshot())));
		}
		return behind;
	}

	private void sendMissing(String vm, FeedRevision revision, long now) {
		for (FeedReplica replica : this.replicas) {
			if (replica.isNeededBy(revision) && this.subscribers.markSnapshotIfDue(vm, replica.feed(), now)) {
				this.mesh
					.ifPresent((peers) -> peers.reply(vm, Envelope.newBuilder().setFeedUpdate(replica.snapshot())));
			}
		}
	}

	// A source whose lists of the VMs fail may know of none that could send it a later
	// one.
	@Override
	public void onReply(String vm, NodeBeat reply) {
		long now = this.loop.nowMs();
		long ageMs = Integer.toUnsignedLong(reply.getStoreAgeMs());
		if (this.chooser.onReply(vm, reply.getPassesOn(), ageMs, now)) {
			this.directory.onStoreAvailable(now - ageMs, now);
		}
		if (vm.equals(source())) {
			reply.getKnownList()
				.forEach((revision) -> sendRecordsIfBehind(vm, revision, now,
						(peers, records) -> peers.send(vm, records)));
		}
	}

	// A reply without a position comes from a VM with the same list. VMs of earlier
	// versions also omit the position of a later list.
	@Override
	public void onContactReply(String vm, NodeBeat reply) {
		long now = this.loop.nowMs();
		boolean behind = reply.getKnownList()
			.stream()
			.filter((revision) -> sendRecordsIfBehind(vm, revision, now,
					(peers, records) -> peers.sendToContact(vm, records)))
			.count() > 0;
		this.exchange.onReply(!behind && reply.getKnownList().stream().noneMatch(this.vmReplica::differsFrom));
	}

	@Override
	public void onFeedUpdate(FeedUpdate update) {
		onEra(update.getEra(), "a relay VM");
		this.replicas.stream()
			.filter((replica) -> replica.feed() == update.getFeed())
			.forEach((replica) -> replica.onUpdate(update));
	}

	// Recent writes of this VM may be lost, so they are repeated. A new era that is
	// seen in one feed concerns all feeds.
	private void onEra(long to, String reporter) {
		if (to <= this.era) {
			return;
		}
		this.log.event(EventCode.STORE_ERA_CHANGED, "from", this.era, "to", to, "by", reporter);
		boolean initial = this.replicas.stream().noneMatch(FeedReplica::isLoaded);
		this.era = to;
		if (initial) {
			return;
		}
		this.rollbackListener.run();
		if (this.loop.nowMs() - this.recordWrittenMs < BACKUP_AGE_MS) {
			this.ownRecord.ifPresent((record) -> publish(record, () -> {
			}));
		}
		if (readsStore()) {
			this.loop.execute(() -> this.replicas.forEach((replica) -> replica.startReadingEra(to)));
		}
	}

	/**
	 * Set the listener for rollbacks of the store.
	 * @param listener runs after each rollback; recent writes of this VM may be lost
	 */
	public void onRollback(Runnable listener) {
		this.rollbackListener = listener;
	}

	/**
	 * Return the number of rollbacks of the store.
	 * @return the count, as far as known to this VM
	 */
	public long era() {
		return this.era;
	}

	/**
	 * Return the number of objects whose local state overrides the store since a
	 * rollback.
	 * @return the count
	 */
	public long overrideCount() {
		return this.replicas.stream().mapToLong(FeedReplica::overrideCount).sum();
	}

	/**
	 * Return whether this VM reads the store and its last probe failed.
	 * @return true if the store cannot be reached
	 */
	public boolean isProbeFailing() {
		return readsStore() && this.probeFailed;
	}

	@Override
	public boolean readsStore() {
		return this.chooser.isReadingStore();
	}

}
