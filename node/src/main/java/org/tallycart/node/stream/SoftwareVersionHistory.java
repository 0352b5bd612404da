package org.tallycart.node.stream;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.vavr.control.Either;
import org.tallycart.core.serving.ServingConfig;
import org.tallycart.core.stream.ServedVersions;
import org.tallycart.core.stream.StreamOriginRegistry;
import org.tallycart.core.stream.VersionHistory;
import org.tallycart.core.upstream.UpstreamDirectory;
import org.tallycart.node.EventLoop;
import org.tallycart.node.log.NodeLog;
import org.tallycart.node.store.ActiveConfig;
import org.tallycart.platform.store.SoftwareVersionRecords;
import org.tallycart.runtime.event.EventCode;
import org.tallycart.runtime.process.Clocks;

/**
 * The software versions that have served, from the list of upstreams that this VM follows
 * and, for the time before it did, from a record in the platform's store. The VM that
 * reads the store writes the record, once for each version that comes or goes; VMs read
 * it only when a stream is resumed of which no VM has a record.
 * <p>
 * Invariant: a version is the only one only while this VM's list of upstreams is up to
 * date. Not thread-safe: confined to the event loop.
 *
 * @since 0.1
 */
public final class SoftwareVersionHistory implements ServedVersions {

	/** Allowance for differences between the clocks of VMs, in milliseconds. */
	private static final long CLOCK_DIFFERENCE_MS = 10_000;

	/**
	 * Time for which the record is not read again, in milliseconds; many streams break at
	 * once.
	 */
	private static final long CACHE_MS = 500;

	/** Delay before a failed write of the record is retried, in milliseconds. */
	private static final long RETRY_MS = 1_000;

	private final UpstreamDirectory directory;

	private final ActiveConfig config;

	private final SoftwareVersionRecords records;

	private final EventLoop loop;

	private final NodeLog log;

	private final LongSupplier upToDateSinceMs;

	private final BooleanSupplier recordsVersions;

	// Versions that are known to be in the record, by service.
	private final Map<String, Set<String>> recorded = new HashMap<>();

	private final List<Runnable> waiting = new ArrayList<>();

	private Map<String, Either<String, VersionHistory>> read = Map.of();

	private long readMs = Long.MIN_VALUE / 2;

	private long nextWriteMs;

	private boolean writing;

	/**
	 * Create a history.
	 * @param directory the upstreams that exist
	 * @param config the active configuration
	 * @param records the record in the store
	 * @param loop the event loop
	 * @param log the event log
	 * @param upToDateSinceMs returns since when the list of upstreams has been up to date
	 * without a break, in monotonic time; {@link Long#MAX_VALUE} if it is not
	 * @param recordsVersions returns whether this VM writes the record
	 */
	public SoftwareVersionHistory(UpstreamDirectory directory, ActiveConfig config, SoftwareVersionRecords records,
			EventLoop loop, NodeLog log, LongSupplier upToDateSinceMs, BooleanSupplier recordsVersions) {
		this.directory = directory;
		this.config = config;
		this.records = records;
		this.loop = loop;
		this.log = log;
		this.upToDateSinceMs = upToDateSinceMs;
		this.recordsVersions = recordsVersions;
	}

	@Override
	public Optional<String> onlyVersion(String service, long nowMs) {
		long sinceMs = nowMs - StreamOriginRegistry.RETENTION_MS;
		return (this.upToDateSinceMs.getAsLong() <= sinceMs) ? onlyListed(service, sinceMs) : Optional.empty();
	}

	// Not compared with a time, which may have been read before the list became up to
	// date.
	private boolean isUpToDate() {
		return this.upToDateSinceMs.getAsLong() != Long.MAX_VALUE;
	}

	private Optional<String> onlyListed(String service, long sinceMs) {
		Set<String> versions = this.directory.softwareVersionsSince(service, sinceMs);
		return (versions.size() == 1) ? versions.stream().findFirst() : Optional.empty();
	}

	@Override
	public void findOnlyVersion(String service, boolean confirm, long nowMs, Consumer<Optional<String>> consumer) {
		Optional<String> listed = onlyListed(service, nowMs - StreamOriginRegistry.RETENTION_MS);
		if (listed.isEmpty() || !isUpToDate()) {
			consumer.accept(Optional.empty());
		}
		else if (!confirm && onlyVersion(service, nowMs).isPresent()) {
			consumer.accept(listed);
		}
		else {
			afterRead(nowMs, () -> consumer.accept(listed.filter((version) -> isOnlyRecorded(service, version))));
		}
	}

	private boolean isOnlyRecorded(String service, String version) {
		long sinceMs = Clocks.SYSTEM.wallMs() - StreamOriginRegistry.RETENTION_MS - CLOCK_DIFFERENCE_MS;
		return Optional.ofNullable(this.read.get(service))
			.flatMap(Either::toJavaOptional)
			.flatMap((history) -> history.onlyVersionSince(sinceMs))
			.filter(version::equals)
			.isPresent();
	}

	private void afterRead(long nowMs, Runnable task) {
		if (nowMs - this.readMs < CACHE_MS) {
			task.run();
			return;
		}
		this.waiting.add(task);
		if (this.waiting.size() == 1) {
			this.records.read(this::onRead);
		}
	}

	private void onRead(Either<String, Map<String, Either<String, VersionHistory>>> outcome) {
		this.read = outcome.getOrElse(Map.of());
		outcome.peek((histories) -> this.readMs = this.loop.nowMs()).peekLeft(this::logUnread);
		List<Runnable> tasks = List.copyOf(this.waiting);
		this.waiting.clear();
		tasks.forEach(Runnable::run);
	}

	/**
	 * Write the record if this VM has to, and a version has come or gone. Must be called
	 * several times a second.
	 */
	public void refresh() {
		long now = this.loop.nowMs();
		if (!this.recordsVersions.getAsBoolean() || !isUpToDate()) {
			this.recorded.clear();
			return;
		}
		if (this.writing || now < this.nextWriteMs) {
			return;
		}
		Map<String, Set<String>> changed = new HashMap<>();
		for (String service : this.config.current().map(ServingConfig::streamingServices).orElse(Set.of())) {
			// Without the versions that have left.
			Set<String> listed = this.directory.softwareVersionsSince(service, Long.MAX_VALUE);
			if (!listed.isEmpty() && !listed.equals(this.recorded.get(service))) {
				changed.put(service, listed);
			}
		}
		if (!changed.isEmpty()) {
			this.writing = true;
			this.records.read((outcome) -> write(outcome, changed));
		}
	}

	private void logUnread(String reason) {
		this.log.event(EventCode.SOFTWARE_VERSIONS, "read", false, "reason", reason);
	}

	private void write(Either<String, Map<String, Either<String, VersionHistory>>> current,
			Map<String, Set<String>> changed) {
		this.writing = false;
		current.peekLeft((reason) -> {
			this.nextWriteMs = this.loop.nowMs() + RETRY_MS;
			logUnread(reason);
		})
			.peek((histories) -> changed
				.forEach((service, listed) -> histories.getOrDefault(service, Either.right(VersionHistory.EMPTY))
					.peekLeft((reason) -> onInvalid(service, reason))
					.peek((former) -> write(service, former, listed))));
	}

	private void write(String service, VersionHistory former, Set<String> listed) {
		VersionHistory updated = former.updated(listed, Clocks.SYSTEM.wallMs());
		this.recorded.put(service, listed);
		if (!updated.equals(former)) {
			this.log.event(EventCode.SOFTWARE_VERSIONS, "service", service, "listed", listed);
			this.records.publish(service, updated, (done) -> onWritten(service, done));
		}
	}

	// An invalid record is not replaced, since versions that it held would be lost.
	private void onInvalid(String service, String reason) {
		this.nextWriteMs = this.loop.nowMs() + RETRY_MS;
		logUnread(service + ": " + reason);
	}

	private void onWritten(String service, boolean done) {
		if (!done) {
			this.recorded.remove(service);
			this.nextWriteMs = this.loop.nowMs() + RETRY_MS;
		}
	}

	/** Write the record again, since the store may have lost it. */
	public void republish() {
		this.recorded.clear();
	}

}
