package org.tallycart.core.serving;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One version of the configuration, whole. A request is served by the version that was in
 * force when it arrived.
 * <p>
 * Immutable and thread-safe.
 *
 * @since 0.1
 */
public final class ServingConfig {

	private final long version;

	private final Map<String, Map<String, Route>> routesByHost;

	private final Map<String, ServiceSpec> services;

	private final CallerLimits limits;

	private final Map<String, Workspace> workspacesByKey;

	private final boolean keysNeeded;

	/**
	 * Create a version.
	 * @param version its number; rises with each change
	 * @param routes the routes
	 * @param services the services by name
	 * @param limits what callers may send
	 * @param workspacesByKey the workspace of each key
	 * @param keysNeeded whether requests need a key, unless their route is open
	 */
	public ServingConfig(long version, List<Route> routes, Map<String, ServiceSpec> services, CallerLimits limits,
			Map<String, Workspace> workspacesByKey, boolean keysNeeded) {
		this.version = version;
		this.routesByHost = index(routes);
		this.services = Map.copyOf(services);
		this.limits = limits;
		this.workspacesByKey = Map.copyOf(workspacesByKey);
		this.keysNeeded = keysNeeded;
	}

	private static Map<String, Map<String, Route>> index(List<Route> routes) {
		Map<String, Map<String, Route>> byHost = new HashMap<>();
		for (Route route : routes) {
			byHost.computeIfAbsent(route.host(), (host) -> new HashMap<>()).put(route.pathPrefix(), route);
		}
		return byHost;
	}

	/**
	 * Return the version's number.
	 * @return the number
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Find the route of a request: of its host's routes, the one with the longest prefix.
	 * @param host the host, without a port
	 * @param path the path, without a query
	 * @return the route, if there is one
	 */
	public Optional<Route> route(String host, String path) {
		Map<String, Route> byPrefix = this.routesByHost.get(host);
		if (byPrefix == null) {
			return Optional.empty();
		}
		for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
			Route route = byPrefix.get(path.substring(0, end + 1));
			if (route != null) {
				return Optional.of(route);
			}
		}
		return Optional.empty();
	}

	/**
	 * Return a service.
	 * @param name its name
	 * @return the service, if the configuration knows it
	 */
	public Optional<ServiceSpec> service(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Return all services.
	 * @return the services by name
	 */
	public Map<String, ServiceSpec> services() {
		return this.services;
	}

	/**
	 * Return what callers may send.
	 * @return the limits
	 */
	public CallerLimits limits() {
		return this.limits;
	}

	/**
	 * Return whether a request on a route needs a key.
	 * @param route the route
	 * @return true if it does
	 */
	public boolean needsKey(Route route) {
		return this.keysNeeded && !route.publicAccess();
	}

	/**
	 * Return the workspace that holds a key.
	 * @param key the key
	 * @return the workspace, if one holds it
	 */
	public Optional<Workspace> workspace(String key) {
		return Optional.ofNullable(this.workspacesByKey.get(key));
	}

}
