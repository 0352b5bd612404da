package org.tallycart.node.store;

import java.util.List;

import org.tallycart.core.serving.ServingConfig;
import org.tallycart.node.log.NodeLog;
import org.tallycart.platform.store.ConfigDecoder;
import org.tallycart.platform.store.ObjectChange;
import org.tallycart.platform.store.StoredObject;
import org.tallycart.runtime.event.EventCode;

/**
 * Passes configurations from the store to {@link ActiveConfig}.
 * <p>
 * Not thread-safe: confined to the event loop.
 */
final class ConfigSink implements ObjectSink {

	private final ActiveConfig config;

	private final NodeLog log;

	private final Runnable onChange;

	ConfigSink(ActiveConfig config, NodeLog log, Runnable onChange) {
		this.config = config;
		this.log = log;
		this.onChange = onChange;
	}

	@Override
	public void onAll(List<StoredObject> objects) {
		objects.forEach(this::activate);
	}

	@Override
	public void onChanges(List<ObjectChange> changes) {
		changes.stream().filter((change) -> !change.removed()).map(ObjectChange::object).forEach(this::activate);
	}

	@Override
	public boolean isNewer(StoredObject local, StoredObject stored) {
		return version(local) > version(stored);
	}

	private static long version(StoredObject object) {
		return ConfigDecoder.decode(object.spec()).map(ServingConfig::version).getOrElse(Long.MIN_VALUE);
	}

	private void activate(StoredObject object) {
		if (!ConfigDecoder.NAME.equals(object.name())) {
			return;
		}
		ConfigDecoder.decode(object.spec()).peek((candidate) -> {
			if (this.config.offer(candidate)) {
				this.onChange.run();
			}
		})
			.peekLeft((reason) -> this.log.event(EventCode.CONFIG_REJECTED, "revision", object.revision(), "reason",
					reason));
	}

}
