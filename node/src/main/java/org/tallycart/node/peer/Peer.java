package org.tallycart.node.peer;

import org.tallycart.core.ini.Address;
import org.tallycart.wire.WireClient;

/**
 * What this VM knows of another one.
 * <p>
 * Not thread-safe: guarded by {@link PeerMesh}.
 */
final class Peer {

	private final Address address;

	private final WireClient client;

	private String vm = "";

	private long incarnation;

	private boolean draining;

	private long heardAtMs;

	private boolean everHeard;

	private long hearsThisAgeMs = Long.MAX_VALUE;

	private long lastTriedMs;

	private boolean live;

	Peer(Address address, WireClient client) {
		this.address = address;
		this.client = client;
	}

	void onBeat(String name, long fresh, boolean leaves, long ageMs, long nowMs) {
		this.vm = name;
		this.incarnation = fresh;
		this.draining = leaves;
		this.hearsThisAgeMs = ageMs;
		this.heardAtMs = nowMs;
		this.everHeard = true;
	}

	boolean heardWithin(long ms, long nowMs) {
		return this.everHeard && nowMs - this.heardAtMs <= ms;
	}

	boolean hearsThis(long withinMs) {
		return this.hearsThisAgeMs <= withinMs;
	}

	// Takes note of a try to reach the VM, and tells whether one is due.
	boolean tryNow(long pauseMs, long nowMs) {
		if (nowMs - this.lastTriedMs < pauseMs) {
			return false;
		}
		this.lastTriedMs = nowMs;
		return true;
	}

	boolean setLive(boolean now) {
		boolean changed = this.live != now;
		this.live = now;
		return changed;
	}

	Address address() {
		return this.address;
	}

	WireClient client() {
		return this.client;
	}

	String vm() {
		return this.vm;
	}

	long incarnation() {
		return this.incarnation;
	}

	boolean draining() {
		return this.draining;
	}

	boolean live() {
		return this.live;
	}

	long heardAgeMs(long nowMs) {
		return nowMs - this.heardAtMs;
	}

}
