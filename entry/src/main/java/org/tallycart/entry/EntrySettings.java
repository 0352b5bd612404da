package org.tallycart.entry;

import java.util.List;

import org.tallycart.core.claim.IdempotencyKeyWindow;
import org.tallycart.core.ini.Address;
import org.tallycart.core.ini.Problem;
import org.tallycart.core.ini.SectionReader;
import org.tallycart.runtime.settings.SettingsFile;
import org.tallycart.runtime.settings.VmSettings;

/**
 * Settings of the entry process.
 *
 * @param vm identity and location of this VM
 * @param listen address of the port for callers
 * @param maxConnections maximum number of callers' connections
 * @param statusListen address of the status port
 * @param steward address of this VM's steward
 * @param window the window in which idempotency keys can be claimed; must match the
 * stewards' setting
 * @param pollMs interval between reads of load reports, in milliseconds
 * @param subset maximum number of upstreams of a service that this VM uses
 * @param overcommit calls in flight per slot of a service, over all VMs
 * @param retryShare extra attempts as a share of first attempts
 * @param drainLeadMs time between reporting not ready and closing the port, in
 * milliseconds
 * @param drainMs maximum time after that for requests to finish, in milliseconds
 * @since 0.1
 */
record EntrySettings(VmSettings vm, Address listen, int maxConnections, Address statusListen, Address steward,
		IdempotencyKeyWindow window, long pollMs, int subset, double overcommit, double retryShare, long drainLeadMs,
		long drainMs) {

	private static final long SECOND_MS = 1_000;

	private static final long MINUTE_MS = 60 * SECOND_MS;

	private static final long HOUR_MS = 60 * MINUTE_MS;

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
				new IdempotencyKeyWindow(claims.durationMs("retention", 10 * MINUTE_MS, SECOND_MS, 24 * HOUR_MS),
						claims.durationMs("clock-skew", SECOND_MS, 1, MINUTE_MS)),
				routing.durationMs("poll-interval", 500, 50, MINUTE_MS), (int) routing.number("subset", 32, 1, 10_000),
				routing.decimal("overcommit", 1.5, 1, 100), routing.decimal("retry-share", 0.08, 0, 1),
				drain.durationMs("lead", SECOND_MS, 0, MINUTE_MS),
				drain.durationMs("timeout", 30 * SECOND_MS, 0, HOUR_MS));
		List.of(callers, status, steward, claims, routing, drain).forEach(SectionReader::reportUnknownKeys);
		return settings;
	}

}
