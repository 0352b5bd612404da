package org.tallycart.node.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.tallycart.core.serving.UpstreamEntry;
import org.tallycart.core.upstream.UpstreamDirectory;
import org.tallycart.node.Loop;
import org.tallycart.node.log.NodeLog;
import org.tallycart.platform.store.ConfigDecoder;
import org.tallycart.platform.store.FeedListener;
import org.tallycart.platform.store.ObjectChange;
import org.tallycart.platform.store.ObjectClient;
import org.tallycart.platform.store.ObjectFeed;
import org.tallycart.platform.store.StoreError;
import org.tallycart.platform.store.StoredObject;
import org.tallycart.platform.store.UpstreamDecoder;
import org.tallycart.runtime.event.EventCode;

/**
 * Follows the configuration and the list of upstreams in the platform's store. While the
 * store is away, what was read last stays in force.
 * <p>
 * Not thread-safe: belongs to the event loop.
 *
 * @since 0.1
 */
public final class StoreLink {

	private final Loop loop;

	private final NodeLog log;

	private final ConfigInForce config;

	private final UpstreamDirectory directory;

	private final Runnable onChange;

	private final ObjectFeed configFeed;

	private final ObjectFeed upstreamFeed;

	/**
	 * Create a link.
	 * @param client makes the calls
	 * @param loop the event loop
	 * @param log where changes are written
	 * @param config takes configurations
	 * @param directory takes upstreams
	 * @param onChange runs after each change of either
	 */
	public StoreLink(ObjectClient client, Loop loop, NodeLog log, ConfigInForce config, UpstreamDirectory directory,
			Runnable onChange) {
		this.loop = loop;
		this.log = log;
		this.config = config;
		this.directory = directory;
		this.onChange = onChange;
		this.configFeed = new ObjectFeed(client, loop.executor(), ConfigDecoder.KIND, new ConfigListener());
		this.upstreamFeed = new ObjectFeed(client, loop.executor(), UpstreamDecoder.KIND, new UpstreamListener());
	}

	/** Begin to follow. */
	public void start() {
		this.configFeed.start();
		this.upstreamFeed.start();
	}

	/** Go on at once, because the store can be reached again. */
	public void renew() {
		this.configFeed.renew();
		this.upstreamFeed.renew();
	}

	private void takeConfig(StoredObject object) {
		if (!ConfigDecoder.NAME.equals(object.name())) {
			return;
		}
		ConfigDecoder.decode(object.spec()).peek((fresh) -> {
			if (this.config.offer(fresh)) {
				this.onChange.run();
			}
		})
			.peekLeft((reason) -> this.log.event(EventCode.CONFIG_REJECTED, "revision", object.revision(), "reason",
					reason));
	}

	private void takeUpstream(UpstreamEntry entry) {
		this.log.event(EventCode.UPSTREAM_LISTED, "upstream", entry.id(), "service", entry.service(), "address",
				entry.address(), "domain", entry.failureDomain(), "draining", entry.draining());
		this.directory.put(entry);
	}

	private void unreadable(StoredObject object, String reason) {
		this.log.event(EventCode.UPSTREAM_UNLISTED, "upstream", object.name(), "reason", reason);
	}

	/** Tells outages of the store apart from single calls, for one feed. */
	private abstract class ReachListener implements FeedListener {

		private boolean lost;

		@Override
		public void onLost(StoreError error) {
			if (!this.lost) {
				this.lost = true;
				StoreLink.this.log.event(EventCode.STORE_LOST, "feed", feed(), "error", error.kind(), "detail",
						error.detail());
			}
		}

		@Override
		public void onReached() {
			if (this.lost) {
				this.lost = false;
				StoreLink.this.log.event(EventCode.STORE_BACK, "feed", feed());
			}
		}

		abstract String feed();

	}

	/** Takes configurations. */
	private final class ConfigListener extends ReachListener {

		@Override
		String feed() {
			return ConfigDecoder.KIND;
		}

		@Override
		public void onList(List<StoredObject> objects) {
			objects.forEach(StoreLink.this::takeConfig);
		}

		@Override
		public void onChange(ObjectChange change) {
			if (!change.gone()) {
				takeConfig(change.object());
			}
		}

	}

	/** Takes upstreams. */
	private final class UpstreamListener extends ReachListener {

		@Override
		String feed() {
			return UpstreamDecoder.KIND;
		}

		@Override
		public void onLost(StoreError error) {
			super.onLost(error);
			StoreLink.this.directory.onStoreLost();
		}

		@Override
		public void onReached() {
			super.onReached();
			StoreLink.this.directory.onStoreBack(StoreLink.this.loop.nowMs());
		}

		@Override
		public void onList(List<StoredObject> objects) {
			List<UpstreamEntry> entries = new ArrayList<>();
			for (StoredObject object : objects) {
				UpstreamDecoder.decode(object).peek(entries::add).peekLeft((reason) -> unreadable(object, reason));
			}
			Set<String> before = StoreLink.this.directory.ids();
			StoreLink.this.directory.replace(entries, StoreLink.this.loop.nowMs());
			entries.stream().filter((entry) -> !before.contains(entry.id())).forEach(StoreLink.this::takeUpstream);
			StoreLink.this.onChange.run();
		}

		@Override
		public void onChange(ObjectChange change) {
			StoredObject object = change.object();
			if (change.gone()) {
				StoreLink.this.log.event(EventCode.UPSTREAM_UNLISTED, "upstream", object.name(), "reason", "removed");
				StoreLink.this.directory.remove(object.name(), StoreLink.this.loop.nowMs());
			}
			else {
				UpstreamDecoder.decode(object)
					.peek(StoreLink.this::takeUpstream)
					.peekLeft((reason) -> unreadable(object, reason));
			}
			StoreLink.this.onChange.run();
		}

	}

}
