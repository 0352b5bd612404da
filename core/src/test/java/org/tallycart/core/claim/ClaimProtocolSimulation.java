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
 * One seeded run of the claim protocol: owners, entries, callers and the platform's slot
 * map, with messages that are delayed, reordered and lost, processes that die, restart,
 * freeze and wake with old views, and keys that grow old. Each step checks that no key
 * has run twice and that a submission told NOT_RUN never runs.
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

	private final Set<String> gone = new HashSet<>();

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
			case 1, 2 -> submitAgain();
			case 3 -> giveUp();
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
			// The platform ends the VM, and another takes its place under a new name.
			this.gone.add(node.vm);
			this.nodes.remove(node);
			Node fresh = new Node(node.vm + "'", this.random.nextInt((int) SKEW_MS + 1));
			this.nodes.add(fresh);
			fresh.restart();
		}
	}

	private void submitNew() {
		Node node = pick(this.nodes);
		long created = node.wallMs() - this.random.nextInt(50) + this.random.nextInt((int) SKEW_MS);
		UUID uuid = new UUID((created << 16) | 0x7000 | this.random.nextInt(0x1000), this.random.nextLong());
		IdempotencyKey key = IdempotencyKey.parse(uuid.toString()).get();
		this.keys.add(key);
		new Submission(node, key, true).start();
	}

	private void submitAgain() {
		if (!this.keys.isEmpty()) {
			new Submission(pick(this.nodes), pick(this.keys), false).start();
		}
	}

	private void giveUp() {
		if (!this.submissions.isEmpty()) {
			pick(this.submissions).giveUp();
		}
	}

	/**
	 * A VM with its steward's table and the views that its steward and its entry have.
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
				boolean mineBefore = owner != null && owner.vm().equals(this.vm)
						&& owner.incarnation() < this.incarnation;
				if (owner == null || mineBefore || ClaimProtocolSimulation.this.gone.contains(owner.vm())) {
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
				// Timed out before an answer: nothing names the target yet.
				this.pendingWrite = null;
				this.table.unseal(moved);
			};
			ClaimProtocolSimulation.this.network.add(() -> {
				if (target.alive && target.incarnation == to && sealed.stream().allMatch(target.table::stage)) {
					ClaimProtocolSimulation.this.network.add(() -> staged(target, to, from, attempt, moved));
				}
			});
		}

		private void staged(Node target, long to, long from, long attempt, List<Integer> moved) {
			if (!this.alive || this.incarnation != from || this.pendingWrite == null || attempt != this.sequence) {
				return;
			}
			boolean applied = write(this.view.assign(moved, target.vm, to, true));
			this.pendingWrite = () -> {
				// The answer may be lost: known only once the map has been read.
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

	/** One submission of a key at one entry. */
	private final class Submission {

		private final Node node;

		private final long incarnation;

		private final IdempotencyKey key;

		private final boolean first;

		private final String id = "s" + ClaimProtocolSimulation.this.submissions.size();

		private boolean over;

		private boolean toldNotRun;

		Submission(Node node, IdempotencyKey key, boolean first) {
			this.node = node;
			this.incarnation = node.incarnation;
			this.key = key;
			this.first = first;
		}

		ClaimHolder holder() {
			return new ClaimHolder(this.node.vm, this.id);
		}

		void start() {
			ClaimProtocolSimulation.this.submissions.add(this);
			if (WINDOW.check(this.key, this.node.wallMs()).isPresent()) {
				this.over = true;
				return;
			}
			ask();
		}

		void ask() {
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
			if (dead || this.over) {
				return;
			}
			long highest = this.node.highestTerms.merge(this.key.slot(SLOTS), reply.term(), Math::max);
			if (reply.status() == ClaimReply.Status.GRANTED && reply.term() >= highest) {
				runIt();
			}
			else if (reply.status() == ClaimReply.Status.NOT_OWNER || reply.status() == ClaimReply.Status.HELD) {
				this.node.refresh();
				ask();
			}
		}

		private void runIt() {
			this.over = true;
			int count = ClaimProtocolSimulation.this.runs.merge(this.key.text(), 1, Integer::sum);
			InvariantViolation.check(count == 1, "key " + this.key.text() + " ran twice");
			InvariantViolation.check(!this.toldNotRun, "a submission told NOT_RUN ran");
			ClaimProtocolSimulation.this.completed++;
			SlotOwner owner = this.node.view.owner(this.key.slot(SLOTS));
			for (Node other : ClaimProtocolSimulation.this.nodes) {
				if (owner != null && other.vm.equals(owner.vm())) {
					ClaimProtocolSimulation.this.network.add(() -> other.table.finish(this.key, holder(), new byte[1]));
				}
			}
		}

		void giveUp() {
			if (this.over) {
				return;
			}
			this.over = true;
			this.toldNotRun = this.first;
			SlotOwner owner = this.node.view.owner(this.key.slot(SLOTS));
			for (Node other : ClaimProtocolSimulation.this.nodes) {
				if (owner != null && other.vm.equals(owner.vm())) {
					ClaimProtocolSimulation.this.network.add(() -> other.table.release(this.key, holder()));
				}
			}
		}

	}

}
