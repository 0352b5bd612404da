package org.tallycart.steward;

import java.util.ArrayList;
import java.util.List;

import org.tallycart.core.claim.IdempotencyKeyWindow;
import org.tallycart.core.ini.Address;
import org.tallycart.core.ini.Problem;
import org.tallycart.core.ini.SectionReader;
import org.tallycart.runtime.settings.SettingsFile;
import org.tallycart.runtime.settings.VmSettings;

/**
 * Settings of a steward.
 *
 * @param vm who and where this VM is
 * @param peerListen where other stewards and this VM's entry connect
 * @param seeds stewards to ask while the list of VMs is not known
 * @param heartbeatMs how often heartbeats are sent
 * @param fanout to how many peers at a time
 * @param statusListen the status port
 * @param platform the platform's service
 * @param platformTimeoutMs how long to wait for its answers
 * @param watchWaitMs how long a watch waits there
 * @param pollMs how often a watcher reads what it does not watch
 * @param backgroundMs how often a VM that is no watcher reads
 * @param window the window in which idempotency keys can be claimed
 * @param slotCount slots to create a new fleet with
 * @param drainMs longest graceful stop
 * @since 0.1
 */
record StewardSettings(VmSettings vm, Address peerListen, List<Address> seeds, long heartbeatMs, int fanout,
		Address statusListen, Address platform, long platformTimeoutMs, long watchWaitMs, long pollMs,
		long backgroundMs, IdempotencyKeyWindow window, int slotCount, long drainMs) {

	private static final long SECOND = 1_000;

	private static final long MINUTE = 60 * SECOND;

	private static final long HOUR = 60 * MINUTE;

	static StewardSettings read(SettingsFile file, List<Problem> problems) {
		VmSettings vm = VmSettings.read(file, problems);
		SectionReader peer = file.section("peer", problems);
		SectionReader status = file.section("status", problems);
		SectionReader platform = file.section("platform", problems);
		SectionReader claims = file.section("claims", problems);
		SectionReader drain = file.section("drain", problems);
		StewardSettings settings = new StewardSettings(vm, peer.address("listen", "127.0.0.1:7301"), seeds(peer),
				peer.durationMs("heartbeat-interval", SECOND, 50, MINUTE), (int) peer.number("fanout", 3, 1, 16),
				status.address("listen", "127.0.0.1:7302"), platform.address("address", "127.0.0.1:7400"),
				platform.durationMs("timeout", 2 * SECOND, 50, MINUTE),
				platform.durationMs("watch-wait", 5 * SECOND, 100, MINUTE),
				platform.durationMs("poll-interval", SECOND, 50, MINUTE),
				platform.durationMs("background-interval", MINUTE, SECOND, HOUR),
				new IdempotencyKeyWindow(claims.durationMs("retention", 10 * MINUTE, SECOND, 24 * HOUR),
						claims.durationMs("clock-skew", SECOND, 1, MINUTE)),
				(int) claims.number("slots", 64, 1, 16_384), drain.durationMs("timeout", 15 * SECOND, 0, HOUR));
		List.of(peer, status, platform, claims, drain).forEach(SectionReader::reportUnknownKeys);
		return settings;
	}

	private static List<Address> seeds(SectionReader reader) {
		List<Address> seeds = new ArrayList<>();
		for (String text : reader.list("seeds")) {
			Address.parse(text)
				.peek(seeds::add)
				.peekLeft((error) -> reader.problem("seeds", "'" + text + "' " + error, "host:port"));
		}
		return seeds;
	}

}
