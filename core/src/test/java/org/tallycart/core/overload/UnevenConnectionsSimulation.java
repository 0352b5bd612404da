package org.tallycart.core.overload;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Simulates VMs in virtual time, each with an event loop that accepts a batch of
 * connections, reads their requests and forwards the replies of upstreams, while the
 * platform gives most new connections to one of them.
 * <p>
 * Not thread-safe.
 */
final class UnevenConnectionsSimulation {

	static final int DEADLINE_MS = 600;

	private static final double REQUESTS_PER_SECOND = 25;

	private static final double ACCEPT_MS = 0.15;

	private static final double READ_MS = 3;

	private static final double REPLY_MS = 5;

	private static final int UPSTREAM_MS = 25;

	private static final int STREAM_EVENTS = 40;

	private static final int EVENT_INTERVAL_MS = 60;

	private static final double EVENT_MS = 0.3;

	/** Longest delay of an event of a stream with which the stream is in time. */
	private static final int MAX_EVENT_DELAY_MS = 500;

	/**
	 * Number of connections that the loop accepts at a time without admission control.
	 */
	private static final int UNCONTROLLED_BATCH = 16;

	/** Number of connections that wait to be accepted; others are dropped. */
	private static final int BACKLOG = 1_024;

	private static final int MAX_ATTEMPTS = 3;

	private static final int RETRY_DELAY_MS = 20;

	/** Time after which a caller abandons a connection that was not accepted. */
	private static final int ACCEPT_TIMEOUT_MS = DEADLINE_MS / 3;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingDouble(Event::atMs).thenComparingLong(Event::number));

	private final Random random;

	private final List<Vm> vms = new ArrayList<>();

	private final boolean admissionControl;

	private long lastEvent;

	private double now;

	private double unevenFromMs = Double.MAX_VALUE;

	private int unevenVms;

	private int read;

	private int served;

	private int requests;

	private int requestsServed;

	private double countFromMs;

	UnevenConnectionsSimulation(int vms, boolean admissionControl, long seed) {
		this.random = new Random(seed);
		this.admissionControl = admissionControl;
		for (int i = 0; i < vms; i++) {
			this.vms.add(new Vm());
		}
	}

	// Gives nine of ten new connections of the first VMs to the first one.
	void makeUneven(double fromMs, int affectedVms) {
		this.unevenFromMs = fromMs;
		this.unevenVms = affectedVms;
	}

	void run(double countedFromMs, double untilMs) {
		this.countFromMs = countedFromMs;
		this.vms.forEach(Vm::start);
		schedule(0, () -> arrive(untilMs));
		while (!this.events.isEmpty() && this.events.peek().atMs() <= untilMs + 4 * STREAM_EVENTS * EVENT_INTERVAL_MS) {
			Event next = this.events.poll();
			this.now = next.atMs();
			next.action().run();
		}
	}

	// Returns the share of attempts that were served, of those that a VM has read.
	double servedOfRead() {
		return (double) this.served / Math.max(this.read, 1);
	}

	// Returns the share of requests that were served in one of their attempts.
	double servedRequests() {
		return (double) this.requestsServed / Math.max(this.requests, 1);
	}

	private void schedule(double delayMs, Runnable action) {
		this.events.add(new Event(this.now + delayMs, this.lastEvent++, action));
	}

	private void arrive(double untilMs) {
		if (this.now >= untilMs) {
			return;
		}
		int home = this.random.nextInt(this.vms.size());
		Request request = new Request(this.now, this.now >= this.countFromMs);
		this.requests += request.counted ? 1 : 0;
		request.connect(pick(home));
		double meanMs = 1_000 / (REQUESTS_PER_SECOND * this.vms.size());
		schedule(-Math.log(1 - this.random.nextDouble()) * meanMs, () -> arrive(untilMs));
	}

	private Vm pick(int home) {
		boolean moved = this.now >= this.unevenFromMs && home < this.unevenVms && this.random.nextInt(10) > 0;
		return this.vms.get(moved ? 0 : home);
	}

	/** A request of a caller, with all its attempts. */
	private final class Request {

		private final double sentMs;

		private final boolean counted;

		// Others are not repeatable, and their callers wait for them until the deadline.
		private final boolean stream = UnevenConnectionsSimulation.this.random.nextBoolean();

		private int attempts;

		private boolean done;

		Request(double sentMs, boolean counted) {
			this.sentMs = sentMs;
			this.counted = counted;
		}

		void connect(Vm vm) {
			this.attempts++;
			if (!vm.enqueue(new Connection(this))) {
				retry();
			}
		}

		void retry() {
			boolean inTime = this.stream || !isLate();
			if (!this.done && inTime && this.attempts < MAX_ATTEMPTS) {
				schedule(RETRY_DELAY_MS,
						() -> connect(
								UnevenConnectionsSimulation.this.vms.get(1 + UnevenConnectionsSimulation.this.random
									.nextInt(UnevenConnectionsSimulation.this.vms.size() - 1))));
			}
		}

		boolean isLate() {
			return UnevenConnectionsSimulation.this.now > this.sentMs + DEADLINE_MS;
		}

	}

	/** One attempt of a caller. */
	private final class Connection {

		private final Request request;

		private boolean accepted;

		private boolean abandoned;

		Connection(Request request) {
			this.request = request;
			if (request.stream) {
				schedule(ACCEPT_TIMEOUT_MS, this::abandonIfWaiting);
			}
		}

		private void abandonIfWaiting() {
			if (!this.accepted) {
				this.abandoned = true;
				this.request.retry();
			}
		}

	}

	/** A VM and its event loop. */
	private final class Vm {

		private final ConnectionAdmission admission = new ConnectionAdmission(Integer.MAX_VALUE, 0);

		private final Deque<Connection> backlog = new ArrayDeque<>();

		private final Deque<Task> tasks = new ArrayDeque<>();

		private double nextCheckMs = ConnectionAdmission.CHECK_INTERVAL_MS;

		private boolean running;

		private int open;

		void start() {
			schedule(ConnectionAdmission.CHECK_INTERVAL_MS, this::wake);
		}

		boolean enqueue(Connection connection) {
			if (this.backlog.size() >= BACKLOG) {
				return false;
			}
			this.backlog.add(connection);
			wake();
			return true;
		}

		private void wake() {
			if (!this.running) {
				this.running = true;
				schedule(0, this::iterate);
			}
		}

		// Runs all that is ready at the beginning of the iteration.
		private void iterate() {
			List<Task> ready = new ArrayList<>(this.tasks);
			this.tasks.clear();
			double costMs = 0;
			int batch = UnevenConnectionsSimulation.this.admissionControl ? BACKLOG : UNCONTROLLED_BATCH;
			for (int i = 0; i < batch && !this.backlog.isEmpty(); i++) {
				accept(this.backlog.poll(), costMs);
				costMs += ACCEPT_MS;
			}
			for (Task task : ready) {
				costMs += task.costMs();
				schedule(costMs, task.action());
			}
			double endMs = UnevenConnectionsSimulation.this.now + costMs;
			schedule(costMs, () -> endIteration(endMs));
		}

		private void endIteration(double endMs) {
			if (endMs >= this.nextCheckMs) {
				this.admission.onCheck((long) endMs);
				this.nextCheckMs = endMs + ConnectionAdmission.CHECK_INTERVAL_MS;
				schedule(ConnectionAdmission.CHECK_INTERVAL_MS, this::wake);
			}
			this.running = false;
			if (!this.backlog.isEmpty() || !this.tasks.isEmpty()) {
				wake();
			}
		}

		private void accept(Connection connection, double delayMs) {
			if (connection.abandoned) {
				return;
			}
			connection.accepted = true;
			long atMs = (long) (UnevenConnectionsSimulation.this.now + delayMs);
			if (UnevenConnectionsSimulation.this.admissionControl && !this.admission.tryAdmit(this.open, atMs)) {
				schedule(delayMs, connection.request::retry);
				return;
			}
			this.open++;
			this.tasks.add(new Task(READ_MS, () -> read(connection.request)));
		}

		private void read(Request request) {
			UnevenConnectionsSimulation.this.read += request.counted ? 1 : 0;
			if (request.stream) {
				forwardEvent(request, 1, UnevenConnectionsSimulation.this.now + EVENT_INTERVAL_MS);
			}
			else {
				schedule(UPSTREAM_MS, () -> addTask(REPLY_MS, () -> reply(request)));
			}
		}

		private void addTask(double costMs, Runnable action) {
			this.tasks.add(new Task(costMs, action));
			wake();
		}

		private void forwardEvent(Request request, int number, double sentMs) {
			schedule(sentMs - UnevenConnectionsSimulation.this.now, () -> addTask(EVENT_MS, () -> {
				boolean late = UnevenConnectionsSimulation.this.now > sentMs + MAX_EVENT_DELAY_MS;
				if (late || number == STREAM_EVENTS) {
					onStreamEnd(request, late);
				}
				else {
					forwardEvent(request, number + 1,
							Math.max(sentMs + EVENT_INTERVAL_MS, UnevenConnectionsSimulation.this.now));
				}
			}));
		}

		private void onStreamEnd(Request request, boolean late) {
			this.open--;
			if (!late) {
				onServed(request);
			}
		}

		private void reply(Request request) {
			this.open--;
			if (!request.isLate()) {
				onServed(request);
			}
		}

		private void onServed(Request request) {
			if (!request.done) {
				request.done = true;
				UnevenConnectionsSimulation.this.served += request.counted ? 1 : 0;
				UnevenConnectionsSimulation.this.requestsServed += request.counted ? 1 : 0;
			}
		}

	}

	private record Task(double costMs, Runnable action) {
	}

	private record Event(double atMs, long number, Runnable action) {
	}

}
