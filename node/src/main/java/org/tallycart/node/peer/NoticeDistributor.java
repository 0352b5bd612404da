package org.tallycart.node.peer;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.tallycart.wire.message.Envelope;

/**
 * Distributes one kind of notice to all VMs without the platform's store: sends reports
 * up the {@link DistributionTree} to the VM that reads the store, which collects them and
 * sends notices down to all VMs.
 * <p>
 * If several VMs read the store, as during its outages, they report to the one that is
 * ranked first, which replies to them. Not thread-safe: confined to the event loop.
 *
 * @since 0.1
 */
public final class NoticeDistributor {

	/**
	 * Limit of the VMs to which notices are sent because they sent reports; others get
	 * notices from their source.
	 */
	private static final int MAX_REPORTERS = 64;

	private final String vm;

	private final DistributionTree tree;

	private final Set<String> reporters = new LinkedHashSet<>();

	private Optional<PeerMesh> mesh = Optional.empty();

	private String lastReceiver = "";

	/**
	 * Create a distributor for one kind of notice.
	 * @param vm this VM's name
	 * @param tree the distribution tree
	 */
	public NoticeDistributor(String vm, DistributionTree tree) {
		this.vm = vm;
		this.tree = tree;
	}

	/**
	 * Start to send messages to other VMs.
	 * @param peers the connections to the other VMs
	 */
	public void start(PeerMesh peers) {
		this.mesh = Optional.of(peers);
	}

	/**
	 * Add a listener for new subscribers of this VM.
	 * @param listener receives the name of each, before anything is sent to it
	 */
	public void onSubscriber(Consumer<String> listener) {
		this.tree.onSubscriber(listener);
	}

	/**
	 * Return whether this VM collects reports.
	 * @return true if this VM reads the store
	 */
	public boolean collectsReports() {
		return this.tree.readsStore();
	}

	/**
	 * Send a report towards the VM that collects reports.
	 * @param message the report
	 */
	public void sendUp(Envelope.Builder message) {
		String receiver = findReceiver();
		if (!receiver.isEmpty()) {
			this.mesh.ifPresent((peers) -> peers.send(receiver, message));
		}
	}

	// Returns the VM that gets this VM's reports; empty if this VM is the one to collect.
	private String findReceiver() {
		String receiver = this.tree.readsStore() ? this.tree.storeReader() : this.tree.source();
		return receiver.equals(this.vm) ? "" : receiver;
	}

	/**
	 * Send a notice to all subscribers and reporters of this VM. A VM that reads the
	 * store also sends it to all relays: during an outage several VMs may read the store
	 * that do not subscribe to each other.
	 * @param message the notice
	 */
	public void sendDown(Envelope.Builder message) {
		this.tree.sendToSubscribers(message.build());
		if (this.tree.readsStore()) {
			this.mesh.ifPresent((peers) -> this.tree.relays().forEach((relay) -> peers.send(relay, message.clone())));
		}
		this.reporters.forEach((reporter) -> sendTo(reporter, message.clone()));
	}

	/**
	 * Send a notice to one subscriber.
	 * @param subscriber the name of the VM
	 * @param message the notice
	 */
	public void sendTo(String subscriber, Envelope.Builder message) {
		this.mesh.ifPresent((peers) -> peers.reply(subscriber, message));
	}

	/**
	 * Add a VM that sent a report to this one, and so gets notices from it.
	 * @param reporter the name of the VM
	 */
	public void addReporter(String reporter) {
		if (this.reporters.size() < MAX_REPORTERS) {
			this.reporters.add(reporter);
		}
	}

	/**
	 * Return whether the receiver of this VM's reports has changed, so that earlier
	 * reports have to be sent again. To be called periodically.
	 * @return true once after each change
	 */
	public boolean takeReceiverChange() {
		String receiver = findReceiver();
		if (receiver.equals(this.lastReceiver)) {
			return false;
		}
		this.lastReceiver = receiver;
		return true;
	}

	/**
	 * Handle the failure or the restart of another VM.
	 * @param failed the name of the VM
	 */
	public void onPeerFailed(String failed) {
		this.reporters.remove(failed);
		if (failed.equals(this.lastReceiver)) {
			this.lastReceiver = "";
		}
	}

}
