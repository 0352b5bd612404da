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
 * @param vm the id and the location of this VM
 * @param peerListen the address that other stewards and this VM's entry connect to
 * @param seeds the stewards to contact while the list of VMs is not known
 * @param heartbeatMs the interval between heartbeats
 * @param fanout the number of peers that receive each heartbeat
 * @param statusListen the address of the status port
 * @param platform the address of the platform's service
 * @param platformTimeoutMs the timeout of a call to the platform's service
 * @param watchWaitMs the maximum wait of a watch on the platform's service
 * @param pollMs the interval at which a watcher polls the registers it does not watch
 * @param backgroundMs the interval at which a VM that is not a watcher polls
 * @param window the window in which idempotency keys can be claimed
 * @param slotCount the number of slots in the slot map of a new fleet
 * @param drainMs the maximum duration of a graceful stop
 * @since 0.1
 */
record StewardSettings(VmSettings vm, Address peerListen, List<Address> seeds, long heartbeatMs, int fanout,
		Address statusListen, Address platform, long platformTimeoutMs, long watchWaitMs, long pollMs,
		long backgroundMs, IdempotencyKeyWindow window, int slotCount, long drainMs) {

	private static final long SECOND_MS = 1_000;

	private static final long MINUTE_MS = 60 * SECOND_MS;

	private static final long HOUR_MS = 60 * MINUTE_MS;

	static StewardSettings read(SettingsFile file, List<Problem> problems) {
		VmSettings vm = VmSettings.read(file, problems);
		SectionReader peer = file.section("peer", problems);
		SectionReader status = file.section("status", problems);
		SectionReader platform = file.section("platform", problems);
		SectionReader claims = file.section("claims", problems);
		SectionReader drain = file.section("drain", problems);
		StewardSettings settings = new StewardSettings(vm, peer.address("listen", "127.0.0.1:7301"), seeds(peer),
				peer.durationMs("heartbeat-interval", SECOND_MS, 50, MINUTE_MS), (int) peer.number("fanout", 3, 1, 16),
				status.address("listen", "127.0.0.1:7302"), platform.address("address", "127.0.0.1:7400"),
				platform.durationMs("timeout", 2 * SECOND_MS, 50, MINUTE_MS),
				platform.durationMs("watch-wait", 5 * SECOND_MS, 100, MINUTE_MS),
				platform.durationMs("poll-interval", SECOND_MS, 50, MINUTE_MS),
				platform.durationMs("background-interval", MINUTE_MS, SECOND_MS, HOUR_MS),
				new IdempotencyKeyWindow(claims.durationMs("retention", 10 * MINUTE_MS, SECOND_MS, 24 * HOUR_MS),
						claims.durationMs("clock-skew", SECOND_MS, 1, MINUTE_MS)),
				(int) claims.number("slots", 64, 1, 16_384), drain.durationMs("timeout", 15 * SECOND_MS, 0, HOUR_MS));
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
