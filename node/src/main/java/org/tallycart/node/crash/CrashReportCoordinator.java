package org.tallycart.node.crash;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import org.tallycart.core.crash.ContentFingerprints;
import org.tallycart.core.crash.CrashCauseDetector;
import org.tallycart.core.crash.CrashReport;
import org.tallycart.core.crash.CrashingPartDetector;
import org.tallycart.core.crash.CrashingRequestDetector;
import org.tallycart.core.crash.Fingerprint;
import org.tallycart.core.crash.Quarantine;
import org.tallycart.core.crash.RecentCrashReports;
import org.tallycart.core.crash.ServedRequests;
import org.tallycart.node.EventLoop;
import org.tallycart.node.log.NodeLog;
import org.tallycart.node.peer.NoticeDistributor;
import org.tallycart.node.peer.PeerMessageHandler;
import org.tallycart.platform.store.QuarantineRecords;
import org.tallycart.runtime.event.EventCode;
import org.tallycart.runtime.process.Clocks;
import org.tallycart.wire.message.CrashQuestion;
import org.tallycart.wire.message.Envelope;
import org.tallycart.wire.message.QuarantinedRequest;

/**
 * Collects the crash reports of all VMs, and distributes which requests are quarantined.
 * Reports go to the VM that reads the store, see {@link NoticeDistributor}; requests that
 * it confirms as crashing, and parts of prompts, are sent to all VMs at once, and written
 * to the store for VMs that start later. Before one is quarantined, all VMs are asked
 * whether it was served meanwhile. Requests cause no calls of the store, and no messages
 * unless an upstream crashes.
 * <p>
 * If the collecting VM fails, reports are sent again to the next source. A request may be
 * confirmed twice, which has no effect. Not thread-safe: confined to the event loop.
 *
 * @since 0.1
 */
public final class CrashReportCoordinator implements PeerMessageHandler, UpstreamCrashDetector.Listener {

	/** Delay before a failed write of a record is retried, in milliseconds. */
	private static final long PUBLISH_RETRY_MS = 1_000;

	private final RecentCrashReports reports = new RecentCrashReports();

	private final CrashCauseDetector detector;

	private final ServedRequests servedRequests = new ServedRequests();

	private final ServedRequests servedParts = new ServedRequests();

	private final Map<Fingerprint, Long> queriedMs = new HashMap<>();

	private final Quarantine quarantine;

	private final EventLoop loop;

	private final NodeLog log;

	private final QuarantineRecords records;

	private final NoticeDistributor distributor;

	/**
	 * Create a coordinator.
	 * @param quarantine the quarantine of this process
	 * @param loop the event loop
	 * @param log the log for changes
	 * @param records the quarantine records in the store
	 * @param distributor distributes reports and notices to the other VMs
	 */
	public CrashReportCoordinator(Quarantine quarantine, EventLoop loop, NodeLog log, QuarantineRecords records,
			NoticeDistributor distributor) {
		this.quarantine = quarantine;
		this.detector = new CrashCauseDetector(quarantine::contains);
		this.loop = loop;
		this.log = log;
		this.records = records;
		this.distributor = distributor;
		distributor.onSubscriber(this::sendAll);
	}

	/**
	 * Process a report.
	 * @param report the crash of an upstream, seen by this VM or by one that reports to
	 * it
	 */
	@Override
	public void onCrash(CrashReport report) {
		long clearedFromMs = report.endedMs() - CrashingPartDetector.CLEARED_MS;
		CrashReport unserved = report.withoutParts((part) -> this.servedParts.servedSince(part, clearedFromMs));
		this.reports.add(unserved, this.loop.nowMs()).ifPresent(this::forward);
	}

	private void forward(CrashReport report) {
		long now = this.loop.nowMs();
		if (this.distributor.collectsReports()) {
			this.detector.onReport(report, now)
				.forEach((suspect) -> queryServed(suspect, this.detector.clearedFromMs(suspect, now)));
			this.loop.schedule(CrashingRequestDetector.CONFIRMATION_DELAY_MS, this::quarantineConfirmed);
		}
		this.distributor.sendUp(CrashMessageCodec.encode(report, now));
	}

	private void queryServed(Fingerprint suspect, long sinceMs) {
		long now = this.loop.nowMs();
		Long lastQuery = this.queriedMs.put(suspect, now);
		this.queriedMs.values().removeIf((at) -> now - at > CrashingRequestDetector.CONFIRMATION_DELAY_MS);
		OptionalLong servedMs = lastServedMs(suspect);
		if (servedMs.orElse(sinceMs - 1) >= sinceMs) {
			clearSuspect(suspect, servedMs.getAsLong(), "own replies");
		}
		else if (lastQuery == null || now - lastQuery > CrashingRequestDetector.CONFIRMATION_DELAY_MS) {
			this.distributor.sendDown(CrashMessageCodec.encodeQuery(suspect, sinceMs, now));
		}
	}

	private OptionalLong lastServedMs(Fingerprint suspect) {
		OptionalLong asRequest = this.servedRequests.lastServedMs(suspect);
		return asRequest.isPresent() ? asRequest : this.servedParts.lastServedMs(suspect);
	}

	private void quarantineConfirmed() {
		long now = this.loop.nowMs();
		for (Fingerprint fingerprint : this.detector.takeConfirmed(now)) {
			this.log.event(EventCode.CRASHING_REQUEST_FOUND, "fingerprint", fingerprint.shortText(), "is",
					this.detector.isPart(fingerprint) ? "prompt_part" : "request", "ends",
					this.detector.crashCount(fingerprint));
			publish(fingerprint, Clocks.SYSTEM.wallMs() + Quarantine.DURATION_MS);
			addToQuarantine("reports", List.of(fingerprint), now + Quarantine.DURATION_MS);
		}
	}

	private void publish(Fingerprint fingerprint, long untilWallMs) {
		this.records.publish(fingerprint, untilWallMs, (done) -> {
			boolean active = this.quarantine.remainingMs(fingerprint, this.loop.nowMs()) > 0;
			if (!done && active) {
				this.loop.schedule(PUBLISH_RETRY_MS, () -> publish(fingerprint, untilWallMs));
			}
		});
	}

	/** Write all quarantine records again, since the store may have lost them. */
	public void republish() {
		if (this.distributor.collectsReports()) {
			long now = this.loop.nowMs();
			this.quarantine.all()
				.forEach((fingerprint, untilMs) -> publish(fingerprint, Clocks.SYSTEM.wallMs() + untilMs - now));
		}
	}

	private void addToQuarantine(String source, List<Fingerprint> fingerprints, long untilMs) {
		List<Fingerprint> added = new ArrayList<>(fingerprints);
		added.removeIf((fingerprint) -> !this.quarantine.add(fingerprint, untilMs));
		if (!added.isEmpty()) {
			this.log.event(EventCode.QUARANTINE_CHANGED, "by", source, "requests",
					added.stream().map(Fingerprint::shortText).toList());
			this.distributor.sendDown(CrashMessageCodec.encodeNotice(this.quarantine.all(), added, this.loop.nowMs()));
		}
	}

	private void sendAll(String subscriber) {
		Map<Fingerprint, Long> all = this.quarantine.all();
		if (!all.isEmpty()) {
			Envelope.Builder notice = CrashMessageCodec.encodeNotice(all, all.keySet(), this.loop.nowMs());
			this.distributor.sendTo(subscriber, notice);
		}
	}

	/**
	 * Record that a request was served completely. Must be called for each.
	 * @param content the request
	 */
	@Override
	public void onServed(ContentFingerprints content) {
		long now = this.loop.nowMs();
		this.servedRequests.add(content.request(), now);
		clearSuspect(content.request(), now, "own replies");
		onPartsRead(content);
	}

	@Override
	public void onPartsRead(ContentFingerprints content) {
		long now = this.loop.nowMs();
		for (Fingerprint part : content.parts()) {
			this.servedParts.add(part, now);
			clearSuspect(part, now, "own replies");
		}
	}

	// Forwarded once by each VM that was queried or has reported the request.
	private void clearSuspect(Fingerprint fingerprint, long servedMs, String source) {
		boolean reported = this.reports.removeSuspect(fingerprint, servedMs);
		boolean queried = this.queriedMs.remove(fingerprint) != null;
		if (!reported && !queried) {
			return;
		}
		if (this.distributor.collectsReports()) {
			logCleared(fingerprint, source);
			this.detector.onServed(fingerprint, servedMs);
		}
		this.distributor.sendUp(CrashMessageCodec.encodeCleared(fingerprint, servedMs, this.loop.nowMs()));
	}

	private void logCleared(Fingerprint fingerprint, String source) {
		int crashes = this.detector.crashCount(fingerprint);
		if (crashes > 0) {
			this.log.event(EventCode.CRASH_SUSPECT_CLEARED, "fingerprint", fingerprint.shortText(), "ends", crashes,
					"by", source);
		}
	}

	/**
	 * Send reports to a new source, and drop expired quarantine entries. Must be called
	 * periodically.
	 */
	public void refresh() {
		if (this.distributor.takeReceiverChange()) {
			this.reports.all().forEach(this::forward);
		}
		List<Fingerprint> expired = this.quarantine.expire(this.loop.nowMs());
		if (this.distributor.collectsReports()) {
			expired.forEach(this.records::remove);
		}
	}

	@Override
	public void onMessage(String from, Envelope message) {
		switch (message.getBodyCase()) {
			case CRASH_REPORT -> onReport(from, CrashMessageCodec.decode(message.getCrashReport(), this.loop.nowMs()));
			case CRASH_CLEARED -> CrashMessageCodec.decodeCleared(message.getCrashCleared(), this.loop.nowMs())
				.forEach((suspect, servedMs) -> clearSuspect(suspect, servedMs, from));
			case CRASH_QUESTION -> onQuery(message.getCrashQuestion());
			case QUARANTINE_NOTICE ->
				message.getQuarantineNotice().getRequestsList().forEach((request) -> onNotice(from, request));
			default -> {
				// Other messages are not for this service.
			}
		}
	}

	private void onQuery(CrashQuestion query) {
		queryServed(new Fingerprint(query.getFingerprint()), this.loop.nowMs() - query.getSinceAgoMs());
	}

	private void onReport(String from, CrashReport report) {
		this.distributor.addReporter(from);
		onCrash(report);
	}

	private void onNotice(String from, QuarantinedRequest request) {
		addToQuarantine(from, List.of(new Fingerprint(request.getFingerprint())),
				this.loop.nowMs() + Math.min(request.getRemainingMs(), Quarantine.DURATION_MS));
	}

	@Override
	public void onPeerFailed(String vm) {
		this.distributor.onPeerFailed(vm);
	}

}
