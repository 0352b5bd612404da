package org.tallycart.core.declaration;

import java.util.Map;

/**
 * All declarations of one version of the configuration.
 * <p>
 * Invariant: every name that a declaration refers to is declared. Immutable and
 * thread-safe; a request uses the same instance throughout.
 *
 * @param pipelines pipelines by name
 * @param services services by name
 * @param workspaces workspaces by name
 * @param policies policies by name
 * @since 0.1
 */
public record Declarations(Map<String, Pipeline> pipelines, Map<String, Service> services,
		Map<String, Workspace> workspaces, Map<String, PolicySource> policies) {

	/** The configuration without any declaration. */
	public static final Declarations EMPTY = new Declarations(Map.of(), Map.of(), Map.of(), Map.of());

	public Declarations {
		pipelines = Map.copyOf(pipelines);
		services = Map.copyOf(services);
		workspaces = Map.copyOf(workspaces);
		policies = Map.copyOf(policies);
	}

}
