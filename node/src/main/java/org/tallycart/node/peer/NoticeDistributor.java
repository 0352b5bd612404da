package org.tallycart.node.peer;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.tallycart.wire.message.Envelope;

/**
 * Spreads one kind of news to all VMs without the platform's store: up the way on which
 * the store's news come down, to the VM that reads the store, and from there down to all.
 * <p>
 * Where several VMs read the store, as in its outages, the others tell the first of them
 * too, which answers. Not thread-safe: belongs to the event loop.
 *
 * @since 0.1
 */
public final class NoticeDistributor {

	/**
	 * VMs that have told this one and are answered, at most; more ask whom they follow.
	 */
	private static final int MOST_REPORTERS = 64;

	private final String vm;

	private final DistributionTree path;

	private final Set<String> reporters = new LinkedHashSet<>();

	private Optional<PeerMesh> mesh = Optional.empty();

	private String told = "";

	/**
	 * Create the spread of one kind of news.
	 * @param vm this VM's name
	 * @param path the way to the VM that reads the store
	 */
	public NoticeDistributor(String vm, DistributionTree path) {
		this.vm = vm;
		this.path = path;
	}

	/**
	 * Begin to work with other VMs.
	 * @param peers the other VMs
	 */
	public void start(PeerMesh peers) {
		this.mesh = Optional.of(peers);
	}

	/**
	 * Hear of VMs that begin to be told by this one.
	 * @param listener takes their names, before they are told anything
	 */
	public void onSubscriber(Consumer<String> listener) {
		this.path.onSubscriber(listener);
	}

	/**
	 * Return whether news are gathered here.
	 * @return true if this VM reads the store
	 */
	public boolean collectsReports() {
		return this.path.readsStore();
	}

	/**
	 * Send news to the VM that gathers them, or one that is nearer to it.
	 * @param message the news
	 */
	public void sendUp(Envelope.Builder message) {
		String above = above();
		if (!above.isEmpty()) {
			this.mesh.ifPresent((peers) -> peers.send(above, message));
		}
	}

	// Empty where this VM gathers.
	private String above() {
		String above = this.path.readsStore() ? this.path.storeReader() : this.path.source();
		return above.equals(this.vm) ? "" : above;
	}

	/**
	 * Send news to all VMs that look to this one. While the store is away several VMs may
	 * read it that do not follow each other: they are told, too.
	 * @param message the news
	 */
	public void sendDown(Envelope.Builder message) {
		this.path.sendToSubscribers(message.build());
		if (this.path.readsStore()) {
			this.mesh.ifPresent((peers) -> this.path.relays().forEach((relay) -> peers.send(relay, message.clone())));
		}
		this.reporters.forEach((reporter) -> sendTo(reporter, message.clone()));
	}

	/**
	 * Send news to one VM that looks to this one.
	 * @param follower the VM
	 * @param message the news
	 */
	public void sendTo(String follower, Envelope.Builder message) {
		this.mesh.ifPresent((peers) -> peers.reply(follower, message));
	}

	/**
	 * Take note that a VM has sent news here, and so may have to be told others.
	 * @param from the VM
	 */
	public void addReporter(String from) {
		if (this.reporters.size() < MOST_REPORTERS) {
			this.reporters.add(from);
		}
	}

	/**
	 * Return whether another VM than before is to be told, which knows nothing of what
	 * the former one was told. To be called now and then.
	 * @return true once after each change
	 */
	public boolean takeReceiverChange() {
		String above = above();
		if (above.equals(this.told)) {
			return false;
		}
		this.told = above;
		return true;
	}

	/**
	 * Take note that a VM is not heard any more, or has started anew.
	 * @param lost the VM
	 */
	public void onLost(String lost) {
		this.reporters.remove(lost);
		if (lost.equals(this.told)) {
			this.told = "";
		}
	}

}
