package org.tallycart.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Grants the slots of an upstream stand-in: high priority before low, in order of arrival
 * within a priority. Keeps recent load samples, from which a delayed load report is made.
 * <p>
 * Thread-safe.
 *
 * @since 0.1
 */
final class SlotScheduler {

	private final int slots;

	private final ReentrantLock lock = new ReentrantLock();

	private final Condition stateChanged = this.lock.newCondition();

	private final Deque<Object> highPriorityQueue = new ArrayDeque<>();

	private final Deque<Object> lowPriorityQueue = new ArrayDeque<>();

	private int running;

	private final Deque<LoadSample> samples = new ArrayDeque<>();

	SlotScheduler(int slots) {
		this.slots = slots;
	}

	boolean acquire(boolean highPriority, long timeoutMs) throws InterruptedException {
		Object ticket = new Object();
		Deque<Object> queue = highPriority ? this.highPriorityQueue : this.lowPriorityQueue;
		this.lock.lock();
		try {
			queue.addLast(ticket);
			recordSample();
			long remainingNs = TimeUnit.MILLISECONDS.toNanos(timeoutMs);
			while (!isNext(ticket, highPriority)) {
				if (remainingNs <= 0) {
					queue.remove(ticket);
					return false;
				}
				remainingNs = this.stateChanged.awaitNanos(remainingNs);
			}
			queue.remove(ticket);
			this.running++;
			recordSample();
			return true;
		}
		finally {
			this.stateChanged.signalAll();
			this.lock.unlock();
		}
	}

	private boolean isNext(Object ticket, boolean highPriority) {
		if (this.running >= this.slots) {
			return false;
		}
		return highPriority ? this.highPriorityQueue.peekFirst() == ticket
				: this.highPriorityQueue.isEmpty() && this.lowPriorityQueue.peekFirst() == ticket;
	}

	void release() {
		this.lock.lock();
		try {
			this.running--;
			recordSample();
			this.stateChanged.signalAll();
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

	private void recordSample() {
		this.samples.addLast(new LoadSample(System.nanoTime(), this.running,
				this.highPriorityQueue.size() + this.lowPriorityQueue.size()));
		while (this.samples.size() > 10_000) {
			this.samples.removeFirst();
		}
	}

	LoadSample loadBefore(long lagMs) {
		this.lock.lock();
		try {
			long timeNs = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(lagMs);
			LoadSample found = new LoadSample(0, 0, 0);
			for (LoadSample sample : this.samples) {
				if (sample.timeNs > timeNs) {
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

	record LoadSample(long timeNs, int running, int waiting) {
	}

}
