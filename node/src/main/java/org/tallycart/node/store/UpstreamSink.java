package org.tallycart.node.store;

import java.util.ArrayList;
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
 * Keeps the directory of upstreams up to date.
 * <p>
 * Invariant: an entry that cannot be read leaves no upstream in use, and does not touch
 * the others. Not thread-safe: belongs to the event loop.
 */
final class UpstreamSink implements ObjectSink {

	/**
	 * New entries of one list that get a line each; more, as at a start, are told in one.
	 * At 108 upstreams that is one line of a start in place of two thirds of all.
	 */
	private static final int MOST_SINGLE_LINES = 10;

	private final UpstreamDirectory directory;

	private final EventLoop loop;

	private final NodeLog log;

	private final NodeMetrics metrics;

	private final Runnable onChange;

	// Entries that name no upstream to use, and why.
	private final Map<String, EntryProblem> unreadable = new HashMap<>();

	UpstreamSink(UpstreamDirectory directory, EventLoop loop, NodeLog log, NodeMetrics metrics, Runnable onChange) {
		this.directory = directory;
		this.loop = loop;
		this.log = log;
		this.metrics = metrics;
		this.onChange = onChange;
	}

	@Override
	public void onAll(List<StoredObject> objects) {
		Map<String, EntryProblem> former = Map.copyOf(this.unreadable);
		this.unreadable.clear();
		List<UpstreamEntry> entries = new ArrayList<>();
		for (StoredObject object : objects) {
			UpstreamDecoder.decode(object)
				.peek(entries::add)
				.peekLeft((problem) -> this.unreadable.put(object.name(), problem));
		}
		Set<String> before = this.directory.ids();
		this.unreadable.keySet().forEach(this.directory::removeInvalid);
		this.directory.replace(entries, this.loop.nowMs());
		this.unreadable.forEach((name, problem) -> tellUnreadable(name, former.get(name), problem));
		listed(entries.stream().filter((entry) -> !before.contains(entry.id())).toList());
		this.onChange.run();
	}

	@Override
	public void onChanges(List<ObjectChange> changes) {
		changes.forEach(this::take);
		this.onChange.run();
	}

	private void take(ObjectChange change) {
		StoredObject object = change.object();
		if (change.gone()) {
			this.unreadable.remove(object.name());
			this.log.event(EventCode.UPSTREAM_UNLISTED, "upstream", object.name());
			this.directory.remove(object.name(), this.loop.nowMs());
			return;
		}
		UpstreamDecoder.decode(object).peek((entry) -> {
			this.unreadable.remove(entry.id());
			if (this.directory.entry(entry.id()).map(entry::isChangedFrom).orElse(true)) {
				listed(entry);
			}
			this.directory.put(entry, this.loop.nowMs());
		}).peekLeft((problem) -> {
			this.directory.removeInvalid(object.name());
			tellUnreadable(object.name(), this.unreadable.put(object.name(), problem), problem);
		});
	}

	// An entry that is read again and is as bad as before gets no line of its own.
	private void tellUnreadable(String name, @Nullable EntryProblem before, EntryProblem problem) {
		if (before != problem) {
			this.metrics.onUnreadableEntry(problem);
			this.log.event(EventCode.UPSTREAM_UNREADABLE, "upstream", name, "reason", problem);
		}
	}

	private void listed(List<UpstreamEntry> fresh) {
		if (fresh.size() <= MOST_SINGLE_LINES) {
			fresh.forEach(this::listed);
			return;
		}
		Map<String, Long> counts = fresh.stream()
			.collect(Collectors.groupingBy(UpstreamEntry::service, TreeMap::new, Collectors.counting()));
		this.log.event(EventCode.UPSTREAMS_LISTED, "upstreams", fresh.size(), "draining",
				fresh.stream().filter(UpstreamEntry::draining).count(), "by_service", counts);
	}

	private void listed(UpstreamEntry entry) {
		this.log.event(EventCode.UPSTREAM_LISTED, "upstream", entry.id(), "service", entry.service(), "address",
				entry.address(), "domain", entry.failureDomain(), "draining", entry.draining(), "cold_ms",
				entry.coldMs(), "started", entry.startedMs().isPresent() ? entry.startedMs().getAsLong() : "untold");
	}

	@Override
	public void onStoreLost() {
		this.directory.onStoreLost();
	}

	@Override
	public void onStoreReached() {
		this.directory.onStoreBack(this.loop.nowMs());
	}

	@Override
	public long untrustedMs() {
		return this.directory.remainingGraceMs(this.loop.nowMs());
	}

	@Override
	public void distrust(long ms) {
		this.directory.extendGraceUntil(this.loop.nowMs() + ms);
	}

}
