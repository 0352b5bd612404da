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
 * What an entry knows of the fleet at one moment. A request uses one instance throughout,
 * so it sees one version of the configuration.
 * <p>
 * Immutable and thread-safe.
 *
 * @param configVersion version of the configuration; 0 for none
 * @param declarations the declarations in force
 * @param policies compiled policies, by name
 * @param slots who owns which slot
 * @param slotsVersion version of the slot map
 * @param vms the list of VMs
 * @param leaving upstreams known to be leaving
 * @param activeVms how many VMs share the work, at least 1
 * @since 0.1
 */
public record EntryState(long configVersion, Declarations declarations, Map<String, Policy> policies, SlotMap slots,
		long slotsVersion, VmList vms, Set<String> leaving, int activeVms) {

	/** Nothing heard yet. */
	public static final EntryState EMPTY = new EntryState(0, Declarations.EMPTY, Map.of(), SlotMap.empty(1), 0,
			VmList.EMPTY, Set.of(), 1);

	/**
	 * Return the policy that governs a pipeline.
	 * @param pipeline the pipeline
	 * @return the policy, the built-in one if it names none
	 */
	public Policy policy(Pipeline pipeline) {
		return this.policies.getOrDefault(pipeline.policy(), BuiltInPolicy.INSTANCE);
	}

}
