package org.tallycart.core.serving;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * One complete version of the configuration. A request is served with the version that
 * was active when it arrived.
 * <p>
 * Immutable and thread-safe.
 *
 * @since 0.1
 */
public final class ServingConfig {

	private final long version;

	private final Map<String, Map<String, Route>> routesByHost;

	private final Set<String> streamingServices;

	private final Map<String, ServiceSpec> services;

	private final CallerLimits limits;

	private final Map<String, Workspace> workspacesByKey;

	private final boolean keysRequired;

	/**
	 * Create a configuration version.
	 * @param version the version number; increases with each change
	 * @param routes the routes
	 * @param services the services by name
	 * @param limits the limits for callers
	 * @param workspacesByKey the workspaces by API key
	 * @param keysRequired whether requests need an API key, except on routes with public
	 * access
	 */
	public ServingConfig(long version, List<Route> routes, Map<String, ServiceSpec> services, CallerLimits limits,
			Map<String, Workspace> workspacesByKey, boolean keysRequired) {
		this.version = version;
		this.routesByHost = indexByHost(routes);
		this.streamingServices = routes.stream()
			.filter((route) -> route.kind() == RequestKind.STREAMING)
			.flatMap((route) -> route.shares().stream().map(ServiceShare::service))
			.collect(Collectors.toUnmodifiableSet());
		this.services = Map.copyOf(services);
		this.limits = limits;
		this.workspacesByKey = Map.copyOf(workspacesByKey);
		this.keysRequired = keysRequired;
	}

	private static Map<String, Map<String, Route>> indexByHost(List<Route> routes) {
		Map<String, Map<String, Route>> byHost = new HashMap<>();
		for (Route route : routes) {
			byHost.computeIfAbsent(route.host(), (host) -> new HashMap<>()).put(route.pathPrefix(), route);
		}
		return byHost;
	}

	/**
	 * Return the services to which routes of streaming requests lead.
	 * @return the names of the services
	 */
	public Set<String> streamingServices() {
		return this.streamingServices;
	}

	/**
	 * Return the version number.
	 * @return the version number
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Find the route of a request: the route of the host with the longest matching
	 * prefix.
	 * @param host the host, without a port
	 * @param path the path, without a query
	 * @return the route, or empty if none matches
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
	 * @param name the name of the service
	 * @return the service, or empty if it is not configured
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
	 * Return the limits for callers.
	 * @return the limits
	 */
	public CallerLimits limits() {
		return this.limits;
	}

	/**
	 * Return whether requests on a route need an API key.
	 * @param route the route
	 * @return true if a key is required
	 */
	public boolean needsKey(Route route) {
		return this.keysRequired && !route.publicAccess();
	}

	/**
	 * Return the workspace of an API key.
	 * @param key the key
	 * @return the workspace, or empty if the key is unknown
	 */
	public Optional<Workspace> workspace(String key) {
		return Optional.ofNullable(this.workspacesByKey.get(key));
	}

}
