package org.tallycart.node.piece;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.tallycart.core.pool.PieceId;
import org.tallycart.core.serving.PoolSpec;
import org.tallycart.core.serving.ServiceSpec;
import org.tallycart.core.serving.UpstreamEntry;
import org.tallycart.core.upstream.UpstreamDirectory;
import org.tallycart.node.store.ActiveConfig;

/**
 * The pools whose calls this VM makes, or has made.
 * <p>
 * Invariant: a pool has one driver, made when it is first needed. Not thread-safe:
 * belongs to the event loop.
 */
final class PoolDrivers {

	private final PoolContext parts;

	private final ActiveConfig config;

	private final UpstreamDirectory directory;

	private final Map<String, PoolDriver> drivers = new HashMap<>();

	PoolDrivers(PoolContext parts, ActiveConfig config, UpstreamDirectory directory) {
		this.parts = parts;
		this.config = config;
		this.directory = directory;
	}

	// Empty for a pool that the configuration does not name.
	Optional<PoolDriver> driver(String service) {
		PoolDriver known = this.drivers.get(service);
		if (known != null) {
			return Optional.of(known);
		}
		return spec(service).map((spec) -> make(service, spec));
	}

	private PoolDriver make(String service, PoolSpec spec) {
		PoolDriver fresh = new PoolDriver(service, spec, this.parts);
		update(fresh, service, spec);
		this.parts.loop().scheduleWithFixedDelay(PoolDriver.TICK_MS, fresh::tick);
		this.drivers.put(service, fresh);
		return fresh;
	}

	private Optional<PoolSpec> spec(String service) {
		return this.config.current().flatMap((current) -> current.service(service)).flatMap(ServiceSpec::pool);
	}

	private List<UpstreamEntry> workers(String service) {
		return this.directory.activeUpstreams(service).stream().map((state) -> state.entry()).toList();
	}

	// The configuration or the list of upstreams has changed.
	void onChange() {
		this.drivers.forEach((service, driver) -> spec(service).ifPresent((spec) -> update(driver, service, spec)));
	}

	// Before it is known which workers there are, and which failure domains are
	// evacuated,
	// pieces wait.
	private void update(PoolDriver driver, String service, PoolSpec spec) {
		driver.update(spec);
		if (this.directory.isLoaded()) {
			driver.updateWorkers(workers(service), this.directory.evacuatedDomains());
		}
	}

	// Does something with a pool that this VM makes calls of, and nothing else.
	void ifMade(String service, Consumer<PoolDriver> action) {
		Optional.ofNullable(this.drivers.get(service)).ifPresent(action);
	}

	void release(String service, List<String> handles) {
		PoolDriver driver = this.drivers.get(service);
		if (driver != null) {
			driver.release(handles);
		}
		else {
			this.parts.returns().give(handles);
		}
	}

	void withdraw(String service, PieceId id) {
		ifMade(service, (driver) -> driver.withdraw(id));
	}

	void stop(Predicate<String> services) {
		this.drivers.forEach((service, driver) -> {
			if (services.test(service)) {
				driver.stop();
			}
		});
	}

	boolean idle() {
		return this.drivers.values().stream().allMatch(PoolDriver::idle);
	}

}
