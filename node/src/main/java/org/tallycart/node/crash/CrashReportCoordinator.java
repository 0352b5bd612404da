package org.tallycart.node.crash;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.tallycart.core.crash.CrashReport;
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
 * Gathers what all VMs saw of crashes, and spreads which requests are to be kept away
 * from upstreams. Reports go to the VM that reads the store, see
 * {@link NoticeDistributor}; what it finds goes to all at once, and into the store for
 * VMs that start later. Before a request is kept away all VMs are asked whether they
 * answered it meanwhile. A request costs no call of the store, and a calm day no message.
 * <p>
 * Where that VM is lost, reports are told again to whoever is the source then. A request
 * may be found twice, which changes nothing. Not thread-safe: belongs to the event loop.
 *
 * @since 0.1
 */
public final class CrashReportCoordinator implements PeerMessageHandler {

	/** When to write a record is tried again, in milliseconds. */
	private static final long PUBLISH_RETRY_MS = 1_000;

	private final RecentCrashReports reports = new RecentCrashReports();

	private final CrashingRequestDetector ledger = new CrashingRequestDetector();

	private final ServedRequests served = new ServedRequests();

	private final Map<Fingerprint, Long> askedMs = new HashMap<>();

	private final Quarantine quarantine;

	private final EventLoop loop;

	private final NodeLog log;

	private final QuarantineRecords records;

	private final NoticeDistributor spread;

	/**
	 * Create the news of a process.
	 * @param quarantine takes what is found
	 * @param loop the event loop
	 * @param log where changes are written
	 * @param records the store's records of it
	 * @param spread the way to the other VMs
	 */
	public CrashReportCoordinator(Quarantine quarantine, EventLoop loop, NodeLog log, QuarantineRecords records,
			NoticeDistributor spread) {
		this.quarantine = quarantine;
		this.loop = loop;
		this.log = log;
		this.records = records;
		this.spread = spread;
		spread.onSubscriber(this::tellAll);
	}

	/**
	 * Take a report.
	 * @param report what this VM, or one that looks to it, saw of an upstream's end
	 */
	public void onCrash(CrashReport report) {
		this.reports.add(report, this.loop.nowMs()).ifPresent(this::passUp);
	}

	private void passUp(CrashReport report) {
		long now = this.loop.nowMs();
		if (this.spread.collectsReports()) {
			this.ledger.onReport(report, now)
				.forEach((suspect) -> ask(suspect, this.ledger.firstCrashMs(suspect, now)));
			this.loop.schedule(CrashingRequestDetector.CONFIRMATION_DELAY_MS, this::takeFound);
		}
		this.spread.sendUp(CrashMessageCodec.encode(report, now));
	}

	private void ask(Fingerprint suspect, long sinceMs) {
		long now = this.loop.nowMs();
		Long before = this.askedMs.put(suspect, now);
		this.askedMs.values().removeIf((at) -> now - at > CrashingRequestDetector.CONFIRMATION_DELAY_MS);
		if (this.served.servedSince(suspect, sinceMs)) {
			clear(suspect);
		}
		else if (before == null || now - before > CrashingRequestDetector.CONFIRMATION_DELAY_MS) {
			this.spread.sendDown(CrashMessageCodec.question(suspect, sinceMs, now));
		}
	}

	private void takeFound() {
		long now = this.loop.nowMs();
		for (Fingerprint found : this.ledger.takeConfirmed(now)) {
			this.log.event(EventCode.CRASHING_REQUEST_FOUND, "fingerprint", found.shortText(), "ends",
					this.ledger.crashCount(found));
			publish(found, Clocks.SYSTEM.wallMs() + Quarantine.DURATION_MS);
			take("reports", List.of(found), now + Quarantine.DURATION_MS);
		}
	}

	private void publish(Fingerprint found, long untilWallMs) {
		this.records.publish(found, untilWallMs, (done) -> {
			boolean wanted = this.quarantine.remainingMs(found, this.loop.nowMs()) > 0;
			if (!done && wanted) {
				this.loop.schedule(PUBLISH_RETRY_MS, () -> publish(found, untilWallMs));
			}
		});
	}

	/** Write all findings again, since the store may have lost them. */
	public void publishAgain() {
		if (this.spread.collectsReports()) {
			long now = this.loop.nowMs();
			this.quarantine.all().forEach((found, untilMs) -> publish(found, Clocks.SYSTEM.wallMs() + untilMs - now));
		}
	}

	private void take(String by, List<Fingerprint> found, long untilMs) {
		List<Fingerprint> fresh = new ArrayList<>(found);
		fresh.removeIf((fingerprint) -> !this.quarantine.add(fingerprint, untilMs));
		if (!fresh.isEmpty()) {
			this.log.event(EventCode.QUARANTINE_CHANGED, "by", by, "requests",
					fresh.stream().map(Fingerprint::shortText).toList());
			this.spread.sendDown(CrashMessageCodec.notice(this.quarantine.all(), fresh, this.loop.nowMs()));
		}
	}

	private void tellAll(String follower) {
		Map<Fingerprint, Long> all = this.quarantine.all();
		if (!all.isEmpty()) {
			Envelope.Builder notice = CrashMessageCodec.notice(all, all.keySet(), this.loop.nowMs());
			this.spread.sendTo(follower, notice);
		}
	}

	/**
	 * Take note that a request was answered whole. To be called for each.
	 * @param fingerprint the request
	 */
	public void onServed(Fingerprint fingerprint) {
		this.served.add(fingerprint, this.loop.nowMs());
		clear(fingerprint);
	}

	// Passed on once by each VM that was asked or has told of it.
	private void clear(Fingerprint fingerprint) {
		boolean told = this.reports.removeSuspect(fingerprint);
		boolean asked = this.askedMs.remove(fingerprint) != null;
		if (!told && !asked) {
			return;
		}
		if (this.spread.collectsReports()) {
			this.ledger.onCleared(fingerprint, this.loop.nowMs());
		}
		this.spread.sendUp(CrashMessageCodec.cleared(fingerprint));
	}

	/** Tell a new source what the former one was told. To be called now and then. */
	public void tick() {
		if (this.spread.takeReceiverChange()) {
			this.reports.all().forEach(this::passUp);
		}
		List<Fingerprint> over = this.quarantine.expire(this.loop.nowMs());
		if (this.spread.collectsReports()) {
			over.forEach(this.records::remove);
		}
	}

	@Override
	public void onMessage(String from, Envelope message) {
		switch (message.getBodyCase()) {
			case CRASH_REPORT -> onReport(from, CrashMessageCodec.decode(message.getCrashReport(), this.loop.nowMs()));
			case CRASH_CLEARED ->
				message.getCrashCleared().getFingerprintsList().forEach((text) -> clear(new Fingerprint(text)));
			case CRASH_QUESTION -> onQuestion(message.getCrashQuestion());
			case QUARANTINE_NOTICE ->
				message.getQuarantineNotice().getRequestsList().forEach((request) -> onNotice(from, request));
			default -> {
				// Other messages are not for this service.
			}
		}
	}

	private void onQuestion(CrashQuestion question) {
		ask(new Fingerprint(question.getFingerprint()), this.loop.nowMs() - question.getSinceAgoMs());
	}

	private void onReport(String from, CrashReport report) {
		this.spread.addReporter(from);
		onCrash(report);
	}

	private void onNotice(String from, QuarantinedRequest request) {
		take(from, List.of(new Fingerprint(request.getFingerprint())),
				this.loop.nowMs() + Math.min(request.getRemainingMs(), Quarantine.DURATION_MS));
	}

	@Override
	public void onLost(String vm) {
		this.spread.onLost(vm);
	}

}
