package org.tallycart.entry.state;

import java.util.Map;
import java.util.Set;

import org.tallycart.core.claim.SlotMap;
import org.tallycart.core.declaration.Declarations;
import org.tallycart.core.declaration.Pipeline;
import org.tallycart.core.membership.VmList;
import org.tallycart.core.policy.BuiltInPolicy;
import org.tallycart.core.policy.Policy;

/**
 * Snapshot of the fleet as replicated from the steward. A request uses one instance
 * throughout, so it sees one version of the configuration.
 * <p>
 * Immutable and thread-safe.
 *
 * @param configVersion version of the configuration; 0 for none
 * @param declarations the active declarations
 * @param policies compiled policies, by name
 * @param slots owners of the slots
 * @param slotsVersion version of the slot map
 * @param vms the list of VMs
 * @param draining ids of upstreams known to be draining
 * @param activeVms number of VMs that share the load, at least 1
 * @since 0.1
 */
public record EntryState(long configVersion, Declarations declarations, Map<String, Policy> policies, SlotMap slots,
		long slotsVersion, VmList vms, Set<String> draining, int activeVms) {

	/** State before the first update. */
	public static final EntryState EMPTY = new EntryState(0, Declarations.EMPTY, Map.of(), SlotMap.empty(1), 0,
			VmList.EMPTY, Set.of(), 1);

	/**
	 * Return the policy of a pipeline.
	 * @param pipeline the pipeline
	 * @return the policy, or the built-in policy if its policy is not declared
	 */
	public Policy policy(Pipeline pipeline) {
		return this.policies.getOrDefault(pipeline.policy(), BuiltInPolicy.INSTANCE);
	}

}
