package org.tallycart.node.stream;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;

import org.tallycart.core.stream.BegunStream;
import org.tallycart.core.stream.ServedVersions;
import org.tallycart.core.stream.StreamOrigin;
import org.tallycart.core.stream.StreamOriginPeers;
import org.tallycart.core.stream.StreamOriginRegistry;
import org.tallycart.core.stream.StreamOriginRegistry.LookupSource;
import org.tallycart.node.EventLoop;
import org.tallycart.node.metrics.NodeMetrics;
import org.tallycart.node.peer.PeerMesh;
import org.tallycart.node.peer.PeerMessageHandler;
import org.tallycart.wire.message.Envelope;
import org.tallycart.wire.message.StreamOriginQuery;

/**
 * Exchanges with other VMs where streams began; {@link StreamOriginRegistry} decides.
 * <p>
 * Not thread-safe: confined to the event loop.
 *
 * @since 0.1
 */
public final class StreamOriginService implements PeerMessageHandler, StreamOriginPeers, KnownStreamOrigins {

	/**
	 * Time for which a lookup waits until a process that has just started has loaded the
	 * other VMs and the upstreams, in milliseconds; callers of a lost VM return at once.
	 */
	private static final long START_WAIT_MS = 500;

	/** Interval at which it is checked whether they are loaded, in milliseconds. */
	private static final long START_CHECK_MS = 20;

	private final EventLoop loop;

	private final NodeMetrics metrics;

	private final ServedVersions versions;

	private final StreamOriginRegistry registry;

	private final BooleanSupplier storeLoaded;

	private Optional<PeerMesh> mesh = Optional.empty();

	/**
	 * Create a service.
	 * @param vm the name of this VM
	 * @param loop the event loop
	 * @param metrics the metrics of the process
	 * @param versions the software versions that have served
	 * @param storeLoaded returns whether the contents of the platform's store were loaded
	 */
	public StreamOriginService(String vm, EventLoop loop, NodeMetrics metrics, ServedVersions versions,
			BooleanSupplier storeLoaded) {
		this.loop = loop;
		this.metrics = metrics;
		this.versions = versions;
		this.storeLoaded = storeLoaded;
		this.registry = new StreamOriginRegistry(vm, this, versions);
	}

	/**
	 * Start to exchange messages with other VMs.
	 * @param peers the other VMs
	 */
	public void start(PeerMesh peers) {
		this.mesh = Optional.of(peers);
		peers.onRecords(this.registry::updateVms);
	}

	@Override
	public void onBegun(String id, StreamOrigin origin, long maxMs) {
		this.registry.onBegun(id, origin, maxMs, this.loop.nowMs());
	}

	@Override
	public void find(Optional<String> id, String service, BiConsumer<Optional<StreamOrigin>, LookupSource> consumer) {
		BiConsumer<Optional<StreamOrigin>, LookupSource> counting = (origin, source) -> {
			this.metrics.onStreamResumed(source.name().toLowerCase(Locale.ROOT));
			consumer.accept(origin, source);
		};
		findOnceLoaded(id, service, this.loop.nowMs() + START_WAIT_MS, counting);
	}

	private void findOnceLoaded(Optional<String> id, String service, long waitUntilMs,
			BiConsumer<Optional<StreamOrigin>, LookupSource> consumer) {
		long now = this.loop.nowMs();
		if (!this.storeLoaded.getAsBoolean() && now < waitUntilMs) {
			this.loop.schedule(START_CHECK_MS, () -> findOnceLoaded(id, service, waitUntilMs, consumer));
			return;
		}
		if (id.isPresent()) {
			this.registry.find(id.get(), service, now, consumer);
			this.loop.schedule(StreamOriginRegistry.LOOKUP_TIMEOUT_MS,
					() -> this.registry.expireLookups(this.loop.nowMs()));
			return;
		}
		this.versions.findOnlyVersion(service, false, now,
				(version) -> consumer.accept(version.map((only) -> new StreamOrigin(service, only)),
						version.isPresent() ? LookupSource.ONLY_VERSION : LookupSource.NONE));
	}

	/** Expire state. Must be called several times a second. */
	public void refresh() {
		this.registry.tick(this.loop.nowMs());
	}

	/** Hand the origins that this VM keeps to other VMs, before a planned stop. */
	public void handOver() {
		this.registry.handOver(this.loop.nowMs());
	}

	/**
	 * Return the number of streams whose origin this VM keeps.
	 * @return the count
	 */
	public int size() {
		return this.registry.size();
	}

	@Override
	public void onMessage(String from, Envelope message) {
		switch (message.getBodyCase()) {
			case STREAM_ORIGINS ->
				this.registry.onOrigins(StreamOriginCodec.decode(message.getStreamOrigins()), this.loop.nowMs());
			case STREAM_ORIGIN_QUERY -> onQuery(from, message.getStreamOriginQuery());
			case STREAM_ORIGIN_REPLY -> this.registry.onReply(from, message.getStreamOriginReply().getNumber(),
					StreamOriginCodec.decode(message.getStreamOriginReply()), this.loop.nowMs());
			default -> {
				// Other messages are not for this service.
			}
		}
	}

	private void onQuery(String from, StreamOriginQuery query) {
		this.registry.onQuery(from, query.getNumber(), query.getRequestId(), this.loop.nowMs());
	}

	@Override
	public void onPeerFailed(String vm) {
		// Lookups do not wait for a single VM.
	}

	@Override
	public void sendOrigins(String vm, List<BegunStream> streams) {
		this.metrics.onStreamOriginsSent(streams.size());
		this.mesh.ifPresent((peers) -> peers.send(vm, StreamOriginCodec.encode(streams)));
	}

	@Override
	public void sendQuery(String vm, long number, String id) {
		this.mesh.ifPresent((peers) -> peers.send(vm, StreamOriginCodec.encodeQuery(number, id)));
	}

	@Override
	public void sendReply(String vm, long number, Optional<StreamOrigin> origin) {
		this.mesh.ifPresent((peers) -> peers.reply(vm, StreamOriginCodec.encodeReply(number, origin)));
	}

}
