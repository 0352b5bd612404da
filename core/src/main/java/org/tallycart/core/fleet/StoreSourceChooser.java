package org.tallycart.core.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Chooses the source from which a VM receives the contents of the platform's store. Calls
 * of the store are billed, and its rate limit does not scale with the fleet, so few VMs
 * read it directly.
 * <p>
 * One VM of all reads the store. One VM of each failure domain subscribes to the reader
 * and relays the contents to the other VMs of its failure domain. A VM whose source is
 * stale reads the store itself, so a change is active within two seconds even if the path
 * to the reader, or from the reader to the store, fails without notice. Before it reads,
 * it probes the store by the cheapest call, which limits the calls during an outage.
 * <p>
 * When all VMs start, only the first in rank of each failure domain reads the store at
 * once; the delay of the others grows with their rank. In the steady state the number of
 * calls does not depend on the number of VMs.
 * <p>
 * Invariant: in a cycle of VMs that subscribe to each other, the age of the contents
 * grows until it exceeds its limit and they read the store themselves. Not thread-safe:
 * belongs to one event loop.
 *
 * @since 0.1
 */
public final class StoreSourceChooser {

	/**
	 * Maximum age of the reader's contents, in milliseconds; covers the reader's period
	 * and a slow reply of the store.
	 */
	private static final long MAX_READER_AGE_MS = 1_100;

	/**
	 * Maximum age of a relay's contents, in milliseconds; adds a heartbeat period to the
	 * reader's.
	 */
	private static final long MAX_RELAY_AGE_MS = 1_300;

	/**
	 * Delay before a VM that is neither reader nor relay reads the store in place of a
	 * stale source, in milliseconds. The standby can reply within this time, and a change
	 * is still read within two seconds.
	 */
	private static final long FALLBACK_DELAY_MS = 300;

	/**
	 * Period of the store probes of a VM without a fresh source, in milliseconds; short
	 * enough to read changes in time after an outage.
	 */
	private static final long PROBE_PERIOD_MS = 400;

	/**
	 * Delay after an outage in which a VM still waits for its source, in milliseconds:
	 * the reader resumes within its own period, and its contents are relayed in two
	 * steps.
	 */
	private static final long RECOVERY_DELAY_MS = 1_500;

	/**
	 * Time for which a source has to be fresh before a VM that reads the store subscribes
	 * to it, in milliseconds; the store's changes have reached the source by then.
	 */
	private static final long SETTLE_MS = 1_500;

	/**
	 * Delay from the start of a VM until it reads the store without having written its
	 * record or loaded the records of others, in milliseconds.
	 */
	private static final long UNRANKED_START_DELAY_MS = 1_000;

	/** Start delay of the second VM in rank, in milliseconds. */
	private static final long SECOND_START_DELAY_MS = 300;

	/**
	 * Base start delay of all later VMs in rank, in milliseconds; a small VM has read the
	 * store and replied by then.
	 */
	private static final long LATER_START_DELAY_MS = 1_200;

	/** Additional start delay for each VM ahead in rank, in milliseconds. */
	private static final long START_DELAY_STEP_MS = 20;

	/**
	 * Maximum start delay, in milliseconds, since callers already connect to a waiting
	 * VM.
	 */
	private static final long MAX_START_DELAY_MS = 2_000;

	/**
	 * Number of VMs of each failure domain that watch the reader: the relay and a
	 * standby.
	 */
	private static final int RELAY_CANDIDATES = 2;

	/** Number of VMs in rank that watch the reader role. */
	private static final int READER_CANDIDATES = 3;

	/**
	 * Time without a review above which this VM was paused, in milliseconds. Replies that
	 * have arrived meanwhile are older than their processing tells.
	 */
	private static final long PAUSE_THRESHOLD_MS = 1_000;

	private static final long NEVER = Long.MIN_VALUE / 2;

	private final String vm;

	private final LeaderRole relayRole;

	private final Map<String, SourceFreshness> freshness = new HashMap<>();

	private String source = "";

	private long startedMs;

	private long recordWrittenMs = NEVER;

	private long storeReadMs = NEVER;

	private long staleSinceMs = NEVER;

	private long reviewedMs = NEVER;

	private long lastProbeMs = NEVER;

	private long probeSuccessMs = NEVER;

	private boolean probeFailed;

	private boolean hasSubscribers;

	/**
	 * Create a chooser.
	 * @param vm the name of this VM
	 * @param failureDomain the failure domain of this VM
	 */
	public StoreSourceChooser(String vm, String failureDomain) {
		this.vm = vm;
		this.relayRole = LeaderRole.domainRelay(failureDomain);
	}

	/**
	 * Record the start of this VM.
	 * @param nowMs the current monotonic time, in milliseconds
	 */
	public void start(long nowMs) {
		this.startedMs = nowMs;
	}

	/**
	 * Record that this VM's record is written to the store.
	 * @param nowMs the current monotonic time, in milliseconds
	 */
	public void onRecordWritten(long nowMs) {
		this.recordWrittenMs = nowMs;
	}

	/**
	 * Record a successful read of the store.
	 * @param requestedAtMs the monotonic time of the request, in milliseconds
	 */
	public void onStoreRead(long requestedAtMs) {
		this.storeReadMs = Math.max(this.storeReadMs, requestedAtMs);
	}

	/**
	 * Record a successful probe of the store, see {@link Action#PROBE}.
	 * @param sentMs the monotonic time of the probe, in milliseconds
	 */
	public void onProbeSuccess(long sentMs) {
		this.probeSuccessMs = Math.max(this.probeSuccessMs, sentMs);
	}

	/** Record a failed probe of the store. */
	public void onProbeFailure() {
		this.probeFailed = true;
	}

	/**
	 * Record the state of a possible source, from its heartbeat reply. The first replies
	 * after a pause of this VM are ignored.
	 * @param name the name of the VM
	 * @param canRelay whether the VM holds the store's contents
	 * @param storeAgeMs the age of these contents, in milliseconds
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return whether the reply tells that the store was available at that age
	 */
	public boolean onReply(String name, boolean canRelay, long storeAgeMs, long nowMs) {
		if (this.reviewedMs != NEVER && nowMs - this.reviewedMs > PAUSE_THRESHOLD_MS) {
			return false;
		}
		freshness(name).onReply(canRelay, storeAgeMs, MAX_READER_AGE_MS, nowMs);
		return canRelay;
	}

	private SourceFreshness freshness(String name) {
		return this.freshness.computeIfAbsent(name, (key) -> new SourceFreshness());
	}

	/**
	 * Set whether other VMs subscribe to this one.
	 * @param subscribed whether any VM subscribes to this one
	 */
	public void setHasSubscribers(boolean subscribed) {
		this.hasSubscribers = subscribed;
	}

	/**
	 * Return the roles whose leaders this VM has to watch.
	 * @param view the leaders of the roles
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return one role for most VMs; two for VMs that relay, or may have to read the
	 * store
	 */
	public List<LeaderRole> watchedRoles(LeaderView view, long nowMs) {
		List<LeaderRole> roles = new ArrayList<>(List.of(this.relayRole));
		if (this.hasSubscribers || view.countAhead(this.relayRole, nowMs) < RELAY_CANDIDATES
				|| view.countAhead(LeaderRole.STORE_READER, nowMs) < READER_CANDIDATES) {
			roles.add(LeaderRole.STORE_READER);
		}
		return roles;
	}

	/**
	 * Return the VM that this one should have as its source.
	 * @param view the leaders of the roles, which must watch {@link #watchedRoles}
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return the name of the VM; this VM's name if it should read the store
	 */
	public String preferredSource(LeaderView view, long nowMs) {
		if (view.countAhead(LeaderRole.STORE_READER, nowMs) == 0) {
			return this.vm;
		}
		String relay = view.leader(this.relayRole);
		return relay.equals(this.vm) ? view.leader(LeaderRole.STORE_READER) : relay;
	}

	/**
	 * Check whether the source has to change. Must be called several times a second.
	 * @param view the leaders of the roles
	 * @param serving whether this VM holds the store's contents and needs only changes
	 * @param vmsLoaded whether this VM has loaded the records of the VMs
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return the action that the caller has to take
	 */
	public Action review(LeaderView view, boolean serving, boolean vmsLoaded, long nowMs) {
		this.reviewedMs = nowMs;
		String preferred = preferredSource(view, nowMs);
		boolean asLeader = preferred.equals(this.vm) || view.leader(this.relayRole).equals(this.vm);
		long maxAgeMs = asLeader ? MAX_READER_AGE_MS : MAX_RELAY_AGE_MS;
		if (!preferred.equals(this.vm) && freshness(preferred).isFresh(maxAgeMs, nowMs)) {
			this.staleSinceMs = NEVER;
			this.probeFailed = false;
			return subscribeIfSettled(preferred, serving, maxAgeMs, nowMs);
		}
		if (this.staleSinceMs == NEVER) {
			this.staleSinceMs = nowMs;
		}
		if (isReadingStore() || nowMs < earliestReadMs(view, asLeader, vmsLoaded, nowMs)) {
			return Action.KEEP;
		}
		if (!isStoreAvailable()) {
			return probeIfDue(nowMs);
		}
		if (this.probeFailed && nowMs < this.probeSuccessMs + RECOVERY_DELAY_MS && countAhead(view, nowMs) > 0) {
			return Action.KEEP;
		}
		this.source = this.vm;
		return Action.READ_STORE;
	}

	// At a start, the written record shows that the store is available.
	private boolean isStoreAvailable() {
		boolean recorded = this.source.isEmpty() && this.recordWrittenMs != NEVER;
		return recorded || this.probeSuccessMs >= this.staleSinceMs;
	}

	private Action probeIfDue(long nowMs) {
		if (nowMs - this.lastProbeMs < PROBE_PERIOD_MS) {
			return Action.KEEP;
		}
		this.lastProbeMs = nowMs;
		return Action.PROBE;
	}

	private Action subscribeIfSettled(String preferred, boolean serving, long maxAgeMs, long nowMs) {
		long settleMs = isReadingStore() ? SETTLE_MS : 0;
		boolean settled = freshness(preferred).freshForMs(maxAgeMs, nowMs) >= settleMs
				&& (serving || !isReadingStore());
		if (this.source.equals(preferred) || !settled) {
			return Action.KEEP;
		}
		this.source = preferred;
		return Action.SUBSCRIBE;
	}

	private long earliestReadMs(LeaderView view, boolean asLeader, boolean vmsLoaded, long nowMs) {
		if (!this.source.isEmpty()) {
			return this.staleSinceMs + (asLeader ? 0 : FALLBACK_DELAY_MS);
		}
		if (this.recordWrittenMs == NEVER || !vmsLoaded) {
			return this.startedMs + UNRANKED_START_DELAY_MS;
		}
		return this.recordWrittenMs + startDelayMs(countAhead(view, nowMs));
	}

	private int countAhead(LeaderView view, long nowMs) {
		return Math.min(view.countAhead(this.relayRole, nowMs), view.countAhead(LeaderRole.STORE_READER, nowMs));
	}

	private static long startDelayMs(int ahead) {
		return switch (ahead) {
			case 0 -> 0;
			case 1 -> SECOND_START_DELAY_MS;
			default -> Math.min(LATER_START_DELAY_MS + ahead * START_DELAY_STEP_MS, MAX_START_DELAY_MS);
		};
	}

	/**
	 * Return whether this VM reads the store itself.
	 * @return false if it subscribes to another VM, or has no source yet
	 */
	public boolean isReadingStore() {
		return this.source.equals(this.vm);
	}

	/**
	 * Return the current source.
	 * @return the name of the VM; this VM's name if it reads the store; empty before the
	 * first choice
	 */
	public String source() {
		return this.source;
	}

	/**
	 * Return whether this VM holds the store's contents and can relay them.
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return false until the contents have arrived, from the store or a source
	 */
	public boolean canRelay(long nowMs) {
		return storeAgeMs(nowMs) <= Integer.MAX_VALUE;
	}

	/**
	 * Return the age of the store's contents at this VM.
	 * @param nowMs the current monotonic time, in milliseconds
	 * @return the time since the store was read, in milliseconds; more than
	 * {@link Integer#MAX_VALUE} if there are no contents
	 */
	public long storeAgeMs(long nowMs) {
		if (isReadingStore()) {
			return nowMs - this.storeReadMs;
		}
		return this.source.isEmpty() ? Long.MAX_VALUE : freshness(this.source).ageMs(nowMs);
	}

	/** The action that follows a review. */
	public enum Action {

		/** Keep the current source. */
		KEEP,
		/**
		 * Probe the store by the cheapest call; review again if it is available.
		 */
		PROBE,
		/** Start to read the store. */
		READ_STORE,
		/** Subscribe to another VM. */
		SUBSCRIBE

	}

}
