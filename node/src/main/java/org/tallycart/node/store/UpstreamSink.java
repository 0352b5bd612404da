package org.tallycart.node.store;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.jspecify.annotations.Nullable;
import org.tallycart.core.serving.UpstreamEntry;
import org.tallycart.core.upstream.UpstreamDirectory;
import org.tallycart.node.EventLoop;
import org.tallycart.node.log.NodeLog;
import org.tallycart.node.metrics.NodeMetrics;
import org.tallycart.platform.store.EntryProblem;
import org.tallycart.platform.store.ObjectChange;
import org.tallycart.platform.store.StoredObject;
import org.tallycart.platform.store.UpstreamDecoder;
import org.tallycart.runtime.event.EventCode;

/**
 * Applies the store's upstream entries to the upstream directory.
 * <p>
 * Invariant: an invalid entry removes its upstream from use, and does not affect the
 * others. Not thread-safe: confined to the event loop.
 */
final class UpstreamSink implements ObjectSink {

	/**
	 * Maximum number of new entries of one list that are logged in a line each. More, as
	 * at startup, are logged in one line.
	 */
	private static final int MAX_SINGLE_LINES = 10;

	private final UpstreamDirectory directory;

	private final EventLoop loop;

	private final NodeLog log;

	private final NodeMetrics metrics;

	private final Runnable onChange;

	// Invalid entries by name, with what is wrong with them.
	private final Map<String, EntryProblem> invalid = new HashMap<>();

	UpstreamSink(UpstreamDirectory directory, EventLoop loop, NodeLog log, NodeMetrics metrics, Runnable onChange) {
		this.directory = directory;
		this.loop = loop;
		this.log = log;
		this.metrics = metrics;
		this.onChange = onChange;
	}

	@Override
	public void onAll(List<StoredObject> objects) {
		Set<String> retainedBefore = this.directory.retainedIds();
		replaceAll(objects);
		logRetained(retainedBefore);
		this.onChange.run();
	}

	private void replaceAll(List<StoredObject> objects) {
		Map<String, EntryProblem> previous = Map.copyOf(this.invalid);
		this.invalid.clear();
		List<UpstreamEntry> entries = new ArrayList<>();
		for (StoredObject object : objects) {
			UpstreamDecoder.decode(object)
				.peek(entries::add)
				.peekLeft((problem) -> this.invalid.put(object.name(), problem));
		}
		Set<String> before = this.directory.ids();
		this.invalid.keySet().forEach((name) -> this.directory.removeInvalid(name, this.loop.nowMs()));
		this.directory.replace(entries, this.loop.nowMs());
		this.invalid.forEach((name, problem) -> reportInvalid(name, previous.get(name), problem));
		logListed(entries.stream().filter((entry) -> !before.contains(entry.id())).toList());
	}

	@Override
	public void onChanges(List<ObjectChange> changes) {
		Set<String> retainedBefore = this.directory.retainedIds();
		changes.forEach(this::apply);
		logRetained(retainedBefore);
		this.onChange.run();
	}

	private void logRetained(Set<String> before) {
		List<String> retained = this.directory.retainedIds().stream().filter((id) -> !before.contains(id)).toList();
		if (!retained.isEmpty()) {
			this.log.event(EventCode.UPSTREAMS_RETAINED, "count", retained.size(), "upstreams", firstIds(retained),
					"for_ms", remainingGraceMs());
		}
	}

	private static List<String> firstIds(Collection<String> ids) {
		return ids.stream().sorted().limit(MAX_SINGLE_LINES).toList();
	}

	private void apply(ObjectChange change) {
		StoredObject object = change.object();
		if (change.removed()) {
			this.invalid.remove(object.name());
			this.log.event(EventCode.UPSTREAM_UNLISTED, "upstream", object.name());
			this.directory.remove(object.name(), this.loop.nowMs());
			return;
		}
		UpstreamDecoder.decode(object).peek((entry) -> {
			this.invalid.remove(entry.id());
			if (this.directory.entry(entry.id()).map(entry::isChangedFrom).orElse(true)) {
				logListed(entry);
			}
			this.directory.put(entry, this.loop.nowMs());
		}).peekLeft((problem) -> {
			this.directory.removeInvalid(object.name(), this.loop.nowMs());
			reportInvalid(object.name(), this.invalid.put(object.name(), problem), problem);
		});
	}

	// Logged only when the problem changes, not each time the entry is read.
	private void reportInvalid(String name, @Nullable EntryProblem before, EntryProblem problem) {
		if (before != problem) {
			this.metrics.onInvalidEntry(problem);
			this.log.event(EventCode.UPSTREAM_UNREADABLE, "upstream", name, "reason", problem);
		}
	}

	private void logListed(List<UpstreamEntry> added) {
		if (added.size() <= MAX_SINGLE_LINES) {
			added.forEach(this::logListed);
			return;
		}
		Map<String, Long> counts = added.stream()
			.collect(Collectors.groupingBy(UpstreamEntry::service, TreeMap::new, Collectors.counting()));
		this.log.event(EventCode.UPSTREAMS_LISTED, "upstreams", added.size(), "draining",
				added.stream().filter(UpstreamEntry::draining).count(), "by_service", counts);
	}

	private void logListed(UpstreamEntry entry) {
		this.log.event(EventCode.UPSTREAM_LISTED, "upstream", entry.id(), "service", entry.service(), "software",
				entry.softwareVersion(), "address", entry.address(), "domain", entry.failureDomain(), "draining",
				entry.draining(), "cold_ms", entry.coldMs(), "started",
				entry.startedMs().isPresent() ? entry.startedMs().getAsLong() : "unknown");
	}

	@Override
	public void expire() {
		Set<String> expired = this.directory.expireVanished(this.loop.nowMs());
		if (!expired.isEmpty()) {
			this.log.event(EventCode.UPSTREAMS_EXPIRED, "count", expired.size(), "upstreams", firstIds(expired));
			this.onChange.run();
		}
	}

	@Override
	public long remainingGraceMs() {
		return this.directory.remainingGraceMs(this.loop.nowMs());
	}

}
