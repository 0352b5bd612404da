package org.tallycart.testbed;

import java.util.List;

/**
 * Definition of a local fleet: its VMs, services and declarations.
 * <p>
 * Immutable and thread-safe.
 *
 * @param name the fleet's name
 * @param vms number of VMs, each with an entry and a steward
 * @param domains the failure domains, assigned to VMs and upstreams in turn
 * @param services the services
 * @param declarations declarations in addition to those of the services, in INI
 * @param upstreamProxies whether entries reach upstreams through fault-injecting proxies
 * @param platformProxies whether stewards reach the platform through fault-injecting
 * proxies
 * @since 0.1
 */
public record FleetDefinition(String name, int vms, List<String> domains, List<ServiceDefinition> services,
		String declarations, boolean upstreamProxies, boolean platformProxies) {

	private static final String BOGOTA_DECLARATIONS = """
			[pipeline assistant]
			stages = encode, retrieve, rerank, generate
			deadline = 11s
			policy = counters-first

			[pipeline dispatch]
			stages = dispatch
			deadline = 5s
			policy = counters-first

			[pipeline catalogue]
			stages = catalogue
			deadline = 5s

			[pipeline payment]
			stages = payment
			deadline = 5s

			[pipeline portal]
			stages = portal
			deadline = 5s

			[workspace chapinero-norte]
			weight = 2

			[workspace fontibon-plaza]
			weight = 2

			[workspace kennedy-central]

			[workspace usaquen-mercado]

			[workspace suba-express]

			[policy counters-first]
			priority = request.label == 'courier' ? 30 : request.label == 'clerk' ? 20 : 10
			""";

	private static final String TUNIS_DECLARATIONS = """
			[pipeline annotate]
			stages = encode, retrieve, rerank, generate
			deadline = 60s
			policy = glosses-first

			[pipeline gloss]
			stages = encode, retrieve, generate
			deadline = 5s
			policy = glosses-first

			[pipeline archive-catalogue]
			stages = archive-catalogue
			deadline = 5s

			[workspace linguists]
			weight = 1

			[workspace transcribers]
			weight = 2

			[workspace teachers]
			weight = 2

			[workspace partners]

			[workspace depositors]

			[policy glosses-first]
			priority = request.max_tokens > 60 ? 0 : 20
			""";

	/**
	 * Return the definition of the grocery deployment in Bogotá.
	 * @param vms number of VMs
	 * @return the definition
	 */
	public static FleetDefinition bogota(int vms) {
		return new FleetDefinition("bogota", vms, List.of("usaquen", "chapinero", "fontibon", "kennedy"),
				List.of(new ServiceDefinition("encode", "encode", 4, 4, 4, 0, 1, 0),
						new ServiceDefinition("retrieve", "retrieve", 4, 4, 6, 0, 1, 0),
						new ServiceDefinition("rerank", "rerank", 4, 4, 8, 0, 2, 0),
						new ServiceDefinition("generate", "generate", 8, 4, 20, 3, 2, 0.5),
						new ServiceDefinition("dispatch", "plain", 4, 4, 15, 0, 1, 0),
						new ServiceDefinition("catalogue", "plain", 4, 4, 10, 0, 1, 0),
						new ServiceDefinition("payment", "plain", 4, 4, 20, 0, 1, 0),
						new ServiceDefinition("portal", "plain", 4, 4, 10, 0, 1, 0)),
				BOGOTA_DECLARATIONS, false, false);
	}

	/**
	 * Return the definition of the archive deployment in Tunis.
	 * @param vms number of VMs
	 * @return the definition
	 */
	public static FleetDefinition tunis(int vms) {
		return new FleetDefinition("tunis", vms, List.of("lac", "charguia", "ariana", "megrine"),
				List.of(new ServiceDefinition("encode", "encode", 4, 4, 4, 0, 1, 0),
						new ServiceDefinition("retrieve", "retrieve", 4, 4, 6, 0, 1, 0),
						new ServiceDefinition("rerank", "rerank", 4, 4, 8, 0, 2, 0),
						new ServiceDefinition("generate", "generate", 13, 4, 20, 3, 2, 0.5),
						new ServiceDefinition("archive-catalogue", "plain", 4, 4, 15, 0, 1, 0)),
				TUNIS_DECLARATIONS, false, false);
	}

	/**
	 * Return a copy in which entries reach upstreams through proxies.
	 * @return the copy
	 */
	public FleetDefinition withUpstreamProxies() {
		return new FleetDefinition(this.name, this.vms, this.domains, this.services, this.declarations, true,
				this.platformProxies);
	}

	/**
	 * Return a copy in which stewards reach the platform through proxies.
	 * @return the copy
	 */
	public FleetDefinition withPlatformProxies() {
		return new FleetDefinition(this.name, this.vms, this.domains, this.services, this.declarations,
				this.upstreamProxies, true);
	}

	/**
	 * Return a copy with the given services.
	 * @param newServices the services
	 * @return the copy
	 */
	public FleetDefinition withServices(List<ServiceDefinition> newServices) {
		return new FleetDefinition(this.name, this.vms, this.domains, newServices, this.declarations,
				this.upstreamProxies, this.platformProxies);
	}

	/**
	 * Return a copy with the given declarations in addition to those of the services.
	 * @param newDeclarations the declarations in INI
	 * @return the copy
	 */
	public FleetDefinition withDeclarations(String newDeclarations) {
		return new FleetDefinition(this.name, this.vms, this.domains, this.services, newDeclarations,
				this.upstreamProxies, this.platformProxies);
	}

	/**
	 * Return the failure domain of a VM or worker.
	 * @param number index of the VM or worker, from 0
	 * @return the domain
	 */
	String domain(int number) {
		return this.domains.get(number % this.domains.size());
	}

}
