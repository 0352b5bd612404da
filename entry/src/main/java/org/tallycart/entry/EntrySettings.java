package org.tallycart.entry;

import java.util.List;

import org.tallycart.core.claim.IdempotencyKeyWindow;
import org.tallycart.core.ini.Address;
import org.tallycart.core.ini.Problem;
import org.tallycart.core.ini.SectionReader;
import org.tallycart.runtime.settings.SettingsFile;
import org.tallycart.runtime.settings.VmSettings;

/**
 * Settings of an entry.
 *
 * @param vm who and where this VM is
 * @param listen where callers connect
 * @param maxConnections callers' connections, at most
 * @param statusListen the status port
 * @param steward this VM's steward
 * @param window the window in which idempotency keys can be claimed; as the stewards have
 * it
 * @param pollMs how often load reports are read
 * @param subset upstreams of a service this VM uses, at most
 * @param overcommit calls in flight for each slot of a service, over all VMs
 * @param retryShare extra attempts as a share of first attempts
 * @param drainLeadMs time between readiness falling and the port closing
 * @param drainMs longest graceful stop after that
 * @since 0.1
 */
record EntrySettings(VmSettings vm, Address listen, int maxConnections, Address statusListen, Address steward,
		IdempotencyKeyWindow window, long pollMs, int subset, double overcommit, double retryShare, long drainLeadMs,
		long drainMs) {

	private static final long SECOND = 1_000;

	private static final long MINUTE = 60 * SECOND;

	private static final long HOUR = 60 * MINUTE;

	static EntrySettings read(SettingsFile file, List<Problem> problems) {
		VmSettings vm = VmSettings.read(file, problems);
		SectionReader callers = file.section("callers", problems);
		SectionReader status = file.section("status", problems);
		SectionReader steward = file.section("steward", problems);
		SectionReader claims = file.section("claims", problems);
		SectionReader routing = file.section("routing", problems);
		SectionReader drain = file.section("drain", problems);
		EntrySettings settings = new EntrySettings(vm, callers.address("listen", "0.0.0.0:8080"),
				(int) callers.number("max-connections", 2_000, 1, 20_000), status.address("listen", "127.0.0.1:7312"),
				steward.address("address", "127.0.0.1:7301"),
				new IdempotencyKeyWindow(claims.durationMs("retention", 10 * MINUTE, SECOND, 24 * HOUR),
						claims.durationMs("clock-skew", SECOND, 1, MINUTE)),
				routing.durationMs("poll-interval", 500, 50, MINUTE), (int) routing.number("subset", 32, 1, 10_000),
				routing.decimal("overcommit", 1.5, 1, 100), routing.decimal("retry-share", 0.08, 0, 1),
				drain.durationMs("lead", SECOND, 0, MINUTE), drain.durationMs("timeout", 30 * SECOND, 0, HOUR));
		List.of(callers, status, steward, claims, routing, drain).forEach(SectionReader::reportUnknownKeys);
		return settings;
	}

}
