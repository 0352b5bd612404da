package org.tallycart.node.store;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import org.tallycart.core.upstream.UpstreamDirectory;
import org.tallycart.node.log.NodeLog;
import org.tallycart.platform.store.EvacuationOrders;
import org.tallycart.platform.store.ObjectChange;
import org.tallycart.platform.store.StoredObject;
import org.tallycart.runtime.event.EventCode;

/**
 * Passes the failure domains that operators have evacuated to the upstream directory.
 * <p>
 * Not thread-safe: confined to the event loop.
 */
final class EvacuationSink implements ObjectSink {

	private final Set<String> domains = new TreeSet<>();

	private final UpstreamDirectory directory;

	private final NodeLog log;

	private final Runnable onChange;

	EvacuationSink(UpstreamDirectory directory, NodeLog log, Runnable onChange) {
		this.directory = directory;
		this.log = log;
		this.onChange = onChange;
	}

	@Override
	public void onAll(List<StoredObject> objects) {
		Set<String> before = Set.copyOf(this.domains);
		this.domains.clear();
		objects.forEach((object) -> this.domains.add(EvacuationOrders.failureDomain(object)));
		apply(before);
	}

	@Override
	public void onChanges(List<ObjectChange> changes) {
		Set<String> before = Set.copyOf(this.domains);
		for (ObjectChange change : changes) {
			String domain = EvacuationOrders.failureDomain(change.object());
			if (change.removed()) {
				this.domains.remove(domain);
			}
			else {
				this.domains.add(domain);
			}
		}
		apply(before);
	}

	private void apply(Set<String> before) {
		this.directory.setEvacuatedDomains(this.domains);
		if (!before.equals(this.domains)) {
			this.log.event(EventCode.EVACUATION_CHANGED, "domains", this.domains);
		}
		this.onChange.run();
	}

}
