package org.tallycart.core.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.UUID;

import org.tallycart.core.outcome.InvariantViolation;

/**
 * Simulates the claim protocol with a seed: owners, entries, callers and the platform's
 * slot map, with messages that are delayed, reordered and lost, processes that crash,
 * restart and act on outdated slot maps, and keys that expire. Each execution checks that
 * no key is executed twice and that a submission reported as NOT_RUN is never executed.
 */
final class ClaimProtocolSimulation {

	private static final int VMS = 4;

	private static final int SLOTS = 4;

	private static final long SKEW_MS = 100;

	private static final IdempotencyKeyWindow WINDOW = new IdempotencyKeyWindow(3_000, SKEW_MS);

	private final Random random;

	private final List<Node> nodes = new ArrayList<>();

	private final List<Runnable> network = new ArrayList<>();

	private final Map<String, Integer> runs = new HashMap<>();

	private final List<IdempotencyKey> keys = new ArrayList<>();

	private final List<Submission> submissions = new ArrayList<>();

	private final Set<String> removedVms = new HashSet<>();

	private SlotMap platform = SlotMap.empty(SLOTS);

	private long platformVersion;

	private long nowMs = 1_000_000;

	private int completed;

	ClaimProtocolSimulation(long seed) {
		this.random = new Random(seed);
		for (int i = 0; i < VMS; i++) {
			this.nodes.add(new Node("vm-" + i, this.random.nextInt((int) SKEW_MS + 1)));
		}
		this.nodes.forEach(Node::restart);
	}

	void run(int steps) {
		for (int i = 0; i < steps; i++) {
			this.nowMs += this.random.nextInt(30);
			step();
		}
	}

	int completed() {
		return this.completed;
	}

	int keysUsed() {
		return this.runs.size();
	}

	private void step() {
		Node node = pick(this.nodes);
		switch (this.random.nextInt(16)) {
			case 0 -> submitNew();
			case 1, 2 -> resubmit();
			case 3 -> abandon();
			case 4 -> node.refresh();
			case 5 -> node.takeOver();
			case 6 -> node.handOver(pick(this.nodes));
			case 7 -> crash(node);
			case 8 -> node.expire();
			default -> deliver();
		}
	}

	private <T> T pick(List<T> items) {
		return items.get(this.random.nextInt(items.size()));
	}

	private void deliver() {
		if (this.network.isEmpty()) {
			return;
		}
		Runnable message = this.network.remove(this.random.nextInt(this.network.size()));
		if (this.random.nextInt(20) > 0) {
			message.run();
		}
	}

	private void crash(Node node) {
		if (this.random.nextInt(4) > 0) {
			return;
		}
		node.alive = false;
		node.incarnation++;
		if (this.random.nextBoolean()) {
			node.restart();
		}
		else {
			// The platform removes the VM, and a VM with a new name replaces it.
			this.removedVms.add(node.vm);
			this.nodes.remove(node);
			Node replacement = new Node(node.vm + "'", this.random.nextInt((int) SKEW_MS + 1));
			this.nodes.add(replacement);
			replacement.restart();
		}
	}

	private void submitNew() {
		Node node = pick(this.nodes);
		long createdMs = node.wallMs() - this.random.nextInt(50) + this.random.nextInt((int) SKEW_MS);
		UUID uuid = new UUID((createdMs << 16) | 0x7000 | this.random.nextInt(0x1000), this.random.nextLong());
		IdempotencyKey key = IdempotencyKey.parse(uuid.toString()).get();
		this.keys.add(key);
		new Submission(node, key, true).start();
	}

	private void resubmit() {
		if (!this.keys.isEmpty()) {
			new Submission(pick(this.nodes), pick(this.keys), false).start();
		}
	}

	private void abandon() {
		if (!this.submissions.isEmpty()) {
			pick(this.submissions).abandon();
		}
	}

	/**
	 * A VM with the claim table of its steward and the slot map that its steward and its
	 * entry share.
	 */
	private final class Node {

		private final String vm;

		private final long offsetMs;

		private long incarnation;

		private boolean alive;

		private ClaimTable table;

		private SlotMap view = SlotMap.empty(SLOTS);

		private long viewVersion;

		private final Map<Integer, Long> highestTerms = new HashMap<>();

		private long sequence;

		private Runnable pendingWrite;

		Node(String vm, long offsetMs) {
			this.vm = vm;
			this.offsetMs = offsetMs;
		}

		long wallMs() {
			return ClaimProtocolSimulation.this.nowMs + this.offsetMs;
		}

		void restart() {
			this.alive = true;
			this.table = ClaimTable.create(this.vm, this.incarnation, WINDOW);
			this.pendingWrite = null;
			this.viewVersion = 0;
			this.highestTerms.clear();
			refresh();
		}

		void refresh() {
			if (this.viewVersion < ClaimProtocolSimulation.this.platformVersion) {
				adopt();
			}
			if (this.pendingWrite != null) {
				this.pendingWrite.run();
			}
		}

		boolean write(SlotMap next) {
			if (ClaimProtocolSimulation.this.platformVersion != this.viewVersion) {
				return false;
			}
			ClaimProtocolSimulation.this.platform = next;
			ClaimProtocolSimulation.this.platformVersion++;
			return true;
		}

		private void adopt() {
			this.viewVersion = ClaimProtocolSimulation.this.platformVersion;
			this.view = ClaimProtocolSimulation.this.platform;
			this.table.applySlotMap(this.view, wallMs());
		}

		void takeOver() {
			List<Integer> slots = new ArrayList<>();
			for (int slot = 0; slot < SLOTS; slot++) {
				SlotOwner owner = this.view.owner(slot);
				boolean ownedBefore = owner != null && owner.vm().equals(this.vm)
						&& owner.incarnation() < this.incarnation;
				if (owner == null || ownedBefore || ClaimProtocolSimulation.this.removedVms.contains(owner.vm())) {
					slots.add(slot);
				}
			}
			if (!slots.isEmpty()) {
				write(this.view.assign(slots, this.vm, this.incarnation, false));
				refresh();
			}
		}

		void handOver(Node target) {
			List<Integer> slots = this.view.ownedBy(this.vm, this.incarnation);
			if (slots.isEmpty() || target == this || this.pendingWrite != null) {
				return;
			}
			List<Integer> moved = List.of(pick(slots));
			long attempt = ++this.sequence;
			List<SlotHandover> sealed = this.table.seal(moved)
				.stream()
				.map((slot) -> new SlotHandover(slot.slot(), slot.term(), slot.refuseUntilMs(), attempt, slot.claims()))
				.toList();
			long from = this.incarnation;
			long to = target.incarnation;
			this.pendingWrite = () -> {
				// Timed out before a reply: the slot map does not name the target yet.
				this.pendingWrite = null;
				this.table.unseal(moved);
			};
			ClaimProtocolSimulation.this.network.add(() -> {
				if (target.alive && target.incarnation == to && sealed.stream().allMatch(target.table::stage)) {
					ClaimProtocolSimulation.this.network.add(() -> onStaged(target, to, from, attempt, moved));
				}
			});
		}

		private void onStaged(Node target, long to, long from, long attempt, List<Integer> moved) {
			if (!this.alive || this.incarnation != from || this.pendingWrite == null || attempt != this.sequence) {
				return;
			}
			boolean applied = write(this.view.assign(moved, target.vm, to, true));
			this.pendingWrite = () -> {
				// The reply may be lost: the outcome is known once the map has been read.
				this.pendingWrite = null;
				if (!applied) {
					this.table.unseal(moved);
				}
			};
			if (ClaimProtocolSimulation.this.random.nextInt(3) > 0) {
				refresh();
			}
		}

		void expire() {
			this.table.expire(wallMs());
		}

		void onClaim(Submission submission, long knownTerm) {
			if (!this.alive) {
				return;
			}
			ClaimReply reply = this.table.claim(submission.key, submission.holder(), knownTerm, wallMs());
			ClaimProtocolSimulation.this.network.add(() -> submission.onReply(reply));
		}

	}

	/** A submission of a key at an entry. */
	private final class Submission {

		private final Node node;

		private final long incarnation;

		private final IdempotencyKey key;

		private final boolean firstSubmission;

		private final String id = "s" + ClaimProtocolSimulation.this.submissions.size();

		private boolean ended;

		private boolean reportedNotRun;

		Submission(Node node, IdempotencyKey key, boolean firstSubmission) {
			this.node = node;
			this.incarnation = node.incarnation;
			this.key = key;
			this.firstSubmission = firstSubmission;
		}

		ClaimHolder holder() {
			return new ClaimHolder(this.node.vm, this.id);
		}

		void start() {
			ClaimProtocolSimulation.this.submissions.add(this);
			if (WINDOW.check(this.key, this.node.wallMs()).isPresent()) {
				this.ended = true;
				return;
			}
			sendClaim();
		}

		void sendClaim() {
			int slot = this.key.slot(SLOTS);
			SlotOwner owner = this.node.view.owner(slot);
			if (owner == null) {
				return;
			}
			long term = this.node.highestTerms.merge(slot, owner.term(), Math::max);
			Node target = ClaimProtocolSimulation.this.nodes.stream()
				.filter((other) -> other.vm.equals(owner.vm()))
				.findFirst()
				.orElse(null);
			if (target != null) {
				ClaimProtocolSimulation.this.network.add(() -> target.onClaim(this, term));
			}
		}

		void onReply(ClaimReply reply) {
			boolean dead = !this.node.alive || this.node.incarnation != this.incarnation;
			if (dead || this.ended) {
				return;
			}
			long highest = this.node.highestTerms.merge(this.key.slot(SLOTS), reply.term(), Math::max);
			if (reply.status() == ClaimReply.Status.GRANTED && reply.term() >= highest) {
				execute();
			}
			else if (reply.status() == ClaimReply.Status.NOT_OWNER || reply.status() == ClaimReply.Status.HELD) {
				this.node.refresh();
				sendClaim();
			}
		}

		private void execute() {
			this.ended = true;
			int count = ClaimProtocolSimulation.this.runs.merge(this.key.text(), 1, Integer::sum);
			InvariantViolation.check(count == 1, "key " + this.key.text() + " ran twice");
			InvariantViolation.check(!this.reportedNotRun, "a submission told NOT_RUN ran");
			ClaimProtocolSimulation.this.completed++;
			SlotOwner owner = this.node.view.owner(this.key.slot(SLOTS));
			for (Node other : ClaimProtocolSimulation.this.nodes) {
				if (owner != null && other.vm.equals(owner.vm())) {
					ClaimProtocolSimulation.this.network.add(() -> other.table.finish(this.key, holder(), new byte[1]));
				}
			}
		}

		void abandon() {
			if (this.ended) {
				return;
			}
			this.ended = true;
			this.reportedNotRun = this.firstSubmission;
			SlotOwner owner = this.node.view.owner(this.key.slot(SLOTS));
			for (Node other : ClaimProtocolSimulation.this.nodes) {
				if (owner != null && other.vm.equals(owner.vm())) {
					ClaimProtocolSimulation.this.network.add(() -> other.table.release(this.key, holder()));
				}
			}
		}

	}

}
