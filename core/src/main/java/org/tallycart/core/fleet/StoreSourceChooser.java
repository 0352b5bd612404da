package org.tallycart.core.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides from whom a VM learns what the platform's store says, since each call of the
 * store has a price and a rate that grows more slowly than the fleet.
 * <p>
 * One VM of all reads the store. One VM of each failure domain is told by it and passes
 * on what it hears to the others of its failure domain. Who cannot be told by the VM that
 * should, reads the store itself, so a change is in force within two seconds although the
 * path to the reader, or the reader's to the store, was cut without a notice. Before it
 * does, it asks by the cheapest call whether the store answers: where the store is away
 * for all, nobody reads it in vain. Six seconds without the store cost 95 VMs at most 210
 * calls, and 1,250 where each begins to read.
 * <p>
 * At a start, only the first of a failure domain goes to the store at once; the others
 * wait for it, the longer the lower they rank. {@code SourceChooserTests} counts at most
 * 430 calls for a start of 95 VMs in 6 failure domains, where each VM by itself makes 7
 * and more, and at most 150 in a calm minute after it, whatever the number of VMs, where
 * a reader in each failure domain makes 100.
 * <p>
 * Invariant: VMs that follow each other in a circle see the age of what they hear rise,
 * and read the store themselves when it passes its limit. Not thread-safe: belongs to one
 * event loop.
 *
 * @since 0.1
 */
public final class StoreSourceChooser {

	/**
	 * What the reader tells may be this old, in milliseconds. It asks the store every 400
	 * ms, and a slow store takes as long again.
	 */
	private static final long MOST_READER_AGE_MS = 1_100;

	/**
	 * The same of what a VM passes on that is told by the reader itself: it is asked five
	 * times a second.
	 */
	private static final long MOST_RELAY_AGE_MS = 1_300;

	/**
	 * How long a VM that nobody looks to waits before it reads the store in place of its
	 * source, in milliseconds: the next in rank is asked and has answered by then. With
	 * the ages above, a change is still read within two seconds.
	 */
	private static final long GRACE_MS = 300;

	/**
	 * Time between two questions whether the store answers, in milliseconds, of a VM that
	 * would read it: that it is back is known in time for its changes.
	 */
	private static final long ASK_MS = 400;

	/**
	 * How long a VM that was not answered for a while waits for its source once it is, in
	 * milliseconds: the reader finds the store again within its own period, and what it
	 * reads is passed on twice. The platform gives four seconds to be in touch again.
	 */
	private static final long AFTER_OUTAGE_MS = 1_500;

	/**
	 * How long another VM has to be fit before a VM that reads the store follows it, in
	 * milliseconds: the store's changes have reached it by then.
	 */
	private static final long SETTLE_MS = 1_500;

	/**
	 * When a VM reads the store although it could not write its record or read those of
	 * others, in milliseconds after its start.
	 */
	private static final long UNKNOWN_START_MS = 1_000;

	/** How long the second of a failure domain waits for the first, in milliseconds. */
	private static final long SECOND_START_MS = 300;

	/**
	 * The same for all others: the first has read the store and answered within half a
	 * second on a VM of a third of a core.
	 */
	private static final long LATER_START_MS = 1_200;

	/** What each VM before one adds to its wait at a start, in milliseconds. */
	private static final long LATER_STEP_MS = 20;

	/** The longest such wait, in milliseconds: callers come to a VM that waits, too. */
	private static final long LATEST_START_MS = 2_000;

	/**
	 * VMs that keep in touch with the reader for each failure domain: one, and a spare.
	 */
	private static final int RELAYS = 2;

	/** VMs that look whether they are the reader. */
	private static final int READERS = 3;

	private static final long NEVER = Long.MIN_VALUE / 2;

	private final String vm;

	private final LeaderRole relay;

	private final Map<String, SourceFreshness> sources = new HashMap<>();

	private String source = "";

	private long startedMs;

	private long recordedMs = NEVER;

	private long contactMs = NEVER;

	private long unfitSinceMs = NEVER;

	private long askedMs = NEVER;

	private long answeredMs = NEVER;

	private boolean unanswered;

	private boolean followed;

	/**
	 * Create a chooser.
	 * @param vm this VM
	 * @param failureDomain where it is
	 */
	public StoreSourceChooser(String vm, String failureDomain) {
		this.vm = vm;
		this.relay = LeaderRole.domainRelay(failureDomain);
	}

	/**
	 * Take note that this VM starts.
	 * @param nowMs the steady clock
	 */
	public void start(long nowMs) {
		this.startedMs = nowMs;
	}

	/**
	 * Take note that this VM's record is written.
	 * @param nowMs the steady clock
	 */
	public void onRecordWritten(long nowMs) {
		this.recordedMs = nowMs;
	}

	/**
	 * Take note that the store has answered this VM.
	 * @param askedMs when it was asked, on the steady clock
	 */
	public void onStoreRead(long askedMs) {
		this.contactMs = Math.max(this.contactMs, askedMs);
	}

	/**
	 * Take note that the store has answered this VM's question, see {@link Action#PROBE}.
	 * @param sentMs when it was asked, on the steady clock
	 */
	public void onProbeSuccess(long sentMs) {
		this.answeredMs = Math.max(this.answeredMs, sentMs);
	}

	/** Take note that the store has not answered this VM's question. */
	public void onProbeFailure() {
		this.unanswered = true;
	}

	/**
	 * Take what a VM says of itself.
	 * @param name the VM
	 * @param passesOn whether it knows what the store says
	 * @param storeAgeMs how long ago the store said so, in milliseconds
	 * @param nowMs the steady clock
	 */
	public void onAnswer(String name, boolean passesOn, long storeAgeMs, long nowMs) {
		health(name).onAnswer(passesOn, storeAgeMs, MOST_READER_AGE_MS, nowMs);
	}

	private SourceFreshness health(String name) {
		return this.sources.computeIfAbsent(name, (key) -> new SourceFreshness());
	}

	/**
	 * Take note whether other VMs look to this one.
	 * @param nowFollowed whether any does
	 */
	public void setHasSubscribers(boolean nowFollowed) {
		this.followed = nowFollowed;
	}

	/**
	 * Return the duties whose holders matter to this VM.
	 * @param view who holds them
	 * @param nowMs the steady clock
	 * @return one duty for most VMs; two for those that pass on or may have to read
	 */
	public List<LeaderRole> watchedRoles(LeaderView view, long nowMs) {
		List<LeaderRole> duties = new ArrayList<>(List.of(this.relay));
		if (this.followed || view.countAhead(this.relay, nowMs) < RELAYS
				|| view.countAhead(LeaderRole.STORE_READER, nowMs) < READERS) {
			duties.add(LeaderRole.STORE_READER);
		}
		return duties;
	}

	/**
	 * Return the VM that this one should be told by.
	 * @param view who holds duties; has to be told of {@link #watchedRoles} before
	 * @param nowMs the steady clock
	 * @return its name; this VM's own if it is to read the store
	 */
	public String preferredSource(LeaderView view, long nowMs) {
		if (view.countAhead(LeaderRole.STORE_READER, nowMs) == 0) {
			return this.vm;
		}
		String near = view.leader(this.relay);
		return near.equals(this.vm) ? view.leader(LeaderRole.STORE_READER) : near;
	}

	/**
	 * Look whether the source is to be another one. To be called several times a second.
	 * @param view who holds duties
	 * @param serving whether this VM knows enough to need only what changes
	 * @param othersKnown whether it has read which VMs there are
	 * @param nowMs the steady clock
	 * @return what to do
	 */
	public Action review(LeaderView view, boolean serving, boolean othersKnown, long nowMs) {
		String wanted = preferredSource(view, nowMs);
		boolean asHolder = wanted.equals(this.vm) || view.leader(this.relay).equals(this.vm);
		long mostAgeMs = asHolder ? MOST_READER_AGE_MS : MOST_RELAY_AGE_MS;
		if (!wanted.equals(this.vm) && health(wanted).fit(mostAgeMs, nowMs)) {
			this.unfitSinceMs = NEVER;
			this.unanswered = false;
			return followIfSettled(wanted, serving, mostAgeMs, nowMs);
		}
		if (this.unfitSinceMs == NEVER) {
			this.unfitSinceMs = nowMs;
		}
		if (isReadingStore() || nowMs < readFromMs(view, asHolder, othersKnown, nowMs)) {
			return Action.KEEP;
		}
		if (!storeAnswers()) {
			return askIfDue(nowMs);
		}
		if (this.unanswered && nowMs < this.answeredMs + AFTER_OUTAGE_MS && ahead(view, nowMs) > 0) {
			return Action.KEEP;
		}
		this.source = this.vm;
		return Action.READ_STORE;
	}

	// At a start, that the record was written shows that the store answers.
	private boolean storeAnswers() {
		boolean recorded = this.source.isEmpty() && this.recordedMs != NEVER;
		return recorded || this.answeredMs >= this.unfitSinceMs;
	}

	private Action askIfDue(long nowMs) {
		if (nowMs - this.askedMs < ASK_MS) {
			return Action.KEEP;
		}
		this.askedMs = nowMs;
		return Action.PROBE;
	}

	/**
	 * Return whether this VM knows what the store says from where it should.
	 * @return false while neither its source nor the store tells it
	 */
	public boolean hasFreshSource() {
		return this.unfitSinceMs == NEVER;
	}

	private Action followIfSettled(String wanted, boolean serving, long mostAgeMs, long nowMs) {
		long settleMs = isReadingStore() ? SETTLE_MS : 0;
		boolean settled = health(wanted).fitForMs(mostAgeMs, nowMs) >= settleMs && (serving || !isReadingStore());
		if (this.source.equals(wanted) || !settled) {
			return Action.KEEP;
		}
		this.source = wanted;
		return Action.SUBSCRIBE;
	}

	private long readFromMs(LeaderView view, boolean asHolder, boolean othersKnown, long nowMs) {
		if (!this.source.isEmpty()) {
			return this.unfitSinceMs + (asHolder ? 0 : GRACE_MS);
		}
		if (this.recordedMs == NEVER || !othersKnown) {
			return this.startedMs + UNKNOWN_START_MS;
		}
		return this.recordedMs + startWaitMs(ahead(view, nowMs));
	}

	private int ahead(LeaderView view, long nowMs) {
		return Math.min(view.countAhead(this.relay, nowMs), view.countAhead(LeaderRole.STORE_READER, nowMs));
	}

	private static long startWaitMs(int ahead) {
		return switch (ahead) {
			case 0 -> 0;
			case 1 -> SECOND_START_MS;
			default -> Math.min(LATER_START_MS + ahead * LATER_STEP_MS, LATEST_START_MS);
		};
	}

	/**
	 * Return whether this VM reads the store itself.
	 * @return false if it is told by another VM, or by none yet
	 */
	public boolean isReadingStore() {
		return this.source.equals(this.vm);
	}

	/**
	 * Return the VM that this one is told by.
	 * @return its name; this VM's own if it reads the store; empty before the first
	 * choice
	 */
	public String source() {
		return this.source;
	}

	/**
	 * Return whether this VM knows what the store says, and can pass it on.
	 * @param nowMs the steady clock
	 * @return false while nobody that the store answered has told it
	 */
	public boolean canRelay(long nowMs) {
		return storeAgeMs(nowMs) <= Integer.MAX_VALUE;
	}

	/**
	 * Return how long ago the store answered whoever tells this VM.
	 * @param nowMs the steady clock
	 * @return milliseconds; more than an {@code int} holds if it never did
	 */
	public long storeAgeMs(long nowMs) {
		if (isReadingStore()) {
			return nowMs - this.contactMs;
		}
		return this.source.isEmpty() ? Long.MAX_VALUE : health(this.source).ageMs(nowMs);
	}

	/** What a review leads to. */
	public enum Action {

		/** All stays as it is. */
		KEEP,
		/**
		 * Ask by the cheapest call whether the store answers; review again if it does.
		 */
		PROBE,
		/** Read the store from now on. */
		READ_STORE,
		/** Be told by another VM from now on. */
		SUBSCRIBE

	}

}
