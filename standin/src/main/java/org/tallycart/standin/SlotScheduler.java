package org.tallycart.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * The slots of an upstream stand-in: first come, first served within a priority; a load
 * report that lags.
 * <p>
 * Thread-safe.
 *
 * @since 0.1
 */
final class SlotScheduler {

	private final int slots;

	private final ReentrantLock lock = new ReentrantLock();

	private final Condition changed = this.lock.newCondition();

	private final Deque<Object> high = new ArrayDeque<>();

	private final Deque<Object> low = new ArrayDeque<>();

	private int running;

	private final Deque<LoadSample> samples = new ArrayDeque<>();

	SlotScheduler(int slots) {
		this.slots = slots;
	}

	boolean enter(boolean first, long timeoutMs) throws InterruptedException {
		Object ticket = new Object();
		Deque<Object> queue = first ? this.high : this.low;
		this.lock.lock();
		try {
			queue.addLast(ticket);
			record();
			long left = TimeUnit.MILLISECONDS.toNanos(timeoutMs);
			while (!mayRun(ticket, first)) {
				if (left <= 0) {
					queue.remove(ticket);
					return false;
				}
				left = this.changed.awaitNanos(left);
			}
			queue.remove(ticket);
			this.running++;
			record();
			return true;
		}
		finally {
			this.changed.signalAll();
			this.lock.unlock();
		}
	}

	private boolean mayRun(Object ticket, boolean first) {
		if (this.running >= this.slots) {
			return false;
		}
		return first ? this.high.peekFirst() == ticket : this.high.isEmpty() && this.low.peekFirst() == ticket;
	}

	void leave() {
		this.lock.lock();
		try {
			this.running--;
			record();
			this.changed.signalAll();
		}
		finally {
			this.lock.unlock();
		}
	}

	int running() {
		this.lock.lock();
		try {
			return this.running;
		}
		finally {
			this.lock.unlock();
		}
	}

	private void record() {
		this.samples.addLast(new LoadSample(System.nanoTime(), this.running, this.high.size() + this.low.size()));
		while (this.samples.size() > 10_000) {
			this.samples.removeFirst();
		}
	}

	LoadSample report(long lagMs) {
		this.lock.lock();
		try {
			long atNs = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(lagMs);
			LoadSample found = new LoadSample(0, 0, 0);
			for (LoadSample sample : this.samples) {
				if (sample.atNs > atNs) {
					break;
				}
				found = sample;
			}
			return found;
		}
		finally {
			this.lock.unlock();
		}
	}

	record LoadSample(long atNs, int running, int waiting) {
	}

}
