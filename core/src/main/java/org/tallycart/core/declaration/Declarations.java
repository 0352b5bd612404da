package org.tallycart.core.declaration;

import java.util.Map;

/**
 * All declarations in force at one version.
 * <p>
 * Invariant: every name that a declaration refers to is declared. Immutable and
 * thread-safe; a request uses one instance throughout.
 *
 * @param pipelines by name
 * @param services by name
 * @param workspaces by name
 * @param policies by name
 * @since 0.1
 */
public record Declarations(Map<String, Pipeline> pipelines, Map<String, Service> services,
		Map<String, Workspace> workspaces, Map<String, PolicySource> policies) {

	/** Nothing declared. */
	public static final Declarations EMPTY = new Declarations(Map.of(), Map.of(), Map.of(), Map.of());

	public Declarations {
		pipelines = Map.copyOf(pipelines);
		services = Map.copyOf(services);
		workspaces = Map.copyOf(workspaces);
		policies = Map.copyOf(policies);
	}

}
