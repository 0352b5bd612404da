package org.tallycart.node.crash;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.tallycart.core.crash.CrashReport;
import org.tallycart.core.crash.Fingerprint;
import org.tallycart.core.crash.Suspect;
import org.tallycart.wire.message.CrashCleared;
import org.tallycart.wire.message.CrashQuestion;
import org.tallycart.wire.message.CrashSuspect;
import org.tallycart.wire.message.Envelope;
import org.tallycart.wire.message.QuarantineNotice;
import org.tallycart.wire.message.QuarantinedRequest;

/**
 * Converts crash reports and quarantine notices to and from messages between VMs. Times
 * are sent as durations, since VMs share no clock.
 * <p>
 * Thread-safe: stateless.
 */
final class CrashMessageCodec {

	private CrashMessageCodec() {
	}

	static Envelope.Builder encode(CrashReport report, long nowMs) {
		List<CrashSuspect> suspects = report.suspects().stream().map((suspect) -> encode(suspect, nowMs)).toList();
		return Envelope.newBuilder()
			.setCrashReport(org.tallycart.wire.message.CrashReport.newBuilder()
				.setIncarnation(report.incarnation())
				.setEndedAgoMs(elapsedMs(report.endedMs(), nowMs))
				.addAllSuspects(suspects)
				.addAllReadParts(report.readParts().stream().map(Fingerprint::value).toList()));
	}

	private static CrashSuspect encode(Suspect suspect, long nowMs) {
		CrashSuspect.Builder message = CrashSuspect.newBuilder()
			.setFingerprint(suspect.fingerprint().value())
			.setRequestId(suspect.requestId())
			.setSentAgoMs(elapsedMs(suspect.sentMs(), nowMs))
			.addAllParts(suspect.parts().stream().map(Fingerprint::value).toList());
		if (suspect.answeringMs() != Suspect.NOT_ANSWERED) {
			message.setAnsweringMs((int) suspect.answeringMs());
		}
		return message.build();
	}

	private static int elapsedMs(long thenMs, long nowMs) {
		return (int) Math.max(nowMs - thenMs, 0);
	}

	static CrashReport decode(org.tallycart.wire.message.CrashReport report, long nowMs) {
		List<Suspect> suspects = report.getSuspectsList().stream().map((suspect) -> decode(suspect, nowMs)).toList();
		List<Fingerprint> readParts = report.getReadPartsList().stream().map(Fingerprint::new).toList();
		return CrashReport.of(report.getIncarnation(), nowMs - report.getEndedAgoMs(), suspects)
			.withReadParts(readParts);
	}

	private static Suspect decode(CrashSuspect suspect, long nowMs) {
		List<Fingerprint> parts = suspect.getPartsList().stream().map(Fingerprint::new).toList();
		return new Suspect(new Fingerprint(suspect.getFingerprint()), parts, suspect.getRequestId(),
				nowMs - suspect.getSentAgoMs(),
				suspect.hasAnsweringMs() ? suspect.getAnsweringMs() : Suspect.NOT_ANSWERED);
	}

	static Envelope.Builder encodeQuery(Fingerprint fingerprint, long sinceMs, long nowMs) {
		return Envelope.newBuilder()
			.setCrashQuestion(CrashQuestion.newBuilder()
				.setFingerprint(fingerprint.value())
				.setSinceAgoMs(elapsedMs(sinceMs, nowMs)));
	}

	static Envelope.Builder encodeCleared(Fingerprint fingerprint, long servedMs, long nowMs) {
		return Envelope.newBuilder()
			.setCrashCleared(CrashCleared.newBuilder()
				.addFingerprints(fingerprint.value())
				.addServedAgoMs(elapsedMs(servedMs, nowMs)));
	}

	static Map<Fingerprint, Long> decodeCleared(CrashCleared cleared, long nowMs) {
		Map<Fingerprint, Long> servedMs = new HashMap<>();
		for (int i = 0; i < cleared.getFingerprintsCount(); i++) {
			int servedAgoMs = (i < cleared.getServedAgoMsCount()) ? cleared.getServedAgoMs(i) : 0;
			servedMs.put(new Fingerprint(cleared.getFingerprints(i)), nowMs - servedAgoMs);
		}
		return servedMs;
	}

	static Envelope.Builder encodeNotice(Map<Fingerprint, Long> untilMs, Collection<Fingerprint> fingerprints,
			long nowMs) {
		QuarantineNotice.Builder notice = QuarantineNotice.newBuilder();
		fingerprints.forEach((fingerprint) -> notice.addRequests(QuarantinedRequest.newBuilder()
			.setFingerprint(fingerprint.value())
			.setRemainingMs((int) Math.max(untilMs.getOrDefault(fingerprint, nowMs) - nowMs, 0))));
		return Envelope.newBuilder().setQuarantineNotice(notice);
	}

}
