package org.tallycart.node.piece;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.tallycart.core.pool.PieceId;
import org.tallycart.core.pool.PoolLoad;
import org.tallycart.core.serving.PoolSpec;
import org.tallycart.core.serving.ServiceSpec;
import org.tallycart.core.serving.UpstreamEntry;
import org.tallycart.core.upstream.UpstreamDirectory;
import org.tallycart.node.store.ActiveConfig;

/**
 * The drivers of all pools for which this VM is or was the dispatcher.
 * <p>
 * Invariant: a pool has at most one driver, created on first use. Not thread-safe:
 * confined to the event loop.
 */
final class PoolDrivers {

	private final PoolContext context;

	private final ActiveConfig config;

	private final UpstreamDirectory directory;

	private final Map<String, PoolDriver> drivers = new HashMap<>();

	PoolDrivers(PoolContext context, ActiveConfig config, UpstreamDirectory directory) {
		this.context = context;
		this.config = config;
		this.directory = directory;
	}

	// Returns the driver of a pool; empty if the pool is not configured.
	Optional<PoolDriver> driver(String service) {
		PoolDriver existing = this.drivers.get(service);
		if (existing != null) {
			return Optional.of(existing);
		}
		return spec(service).map((spec) -> create(service, spec));
	}

	private PoolDriver create(String service, PoolSpec spec) {
		PoolDriver driver = new PoolDriver(service, spec, this.context);
		update(driver, service, spec);
		this.context.loop().scheduleWithFixedDelay(PoolDriver.TICK_MS, driver::tick);
		this.drivers.put(service, driver);
		return driver;
	}

	private Optional<PoolSpec> spec(String service) {
		return this.config.current().flatMap((current) -> current.service(service)).flatMap(ServiceSpec::pool);
	}

	private List<UpstreamEntry> workers(String service) {
		return this.directory.activeUpstreams(service).stream().map((state) -> state.entry()).toList();
	}

	// Applies a change of the configuration or of the upstreams.
	void refresh() {
		this.drivers.forEach((service, driver) -> spec(service).ifPresent((spec) -> update(driver, service, spec)));
	}

	// Pieces stay pending until the workers and the evacuated failure domains are known.
	private void update(PoolDriver driver, String service, PoolSpec spec) {
		driver.update(spec);
		if (this.directory.isLoaded()) {
			driver.updateWorkers(workers(service), this.directory.evacuatedDomains());
		}
	}

	// Runs an action if the pool has a driver.
	void ifPresent(String service, Consumer<PoolDriver> action) {
		Optional.ofNullable(this.drivers.get(service)).ifPresent(action);
	}

	void release(String service, List<String> handles) {
		PoolDriver driver = this.drivers.get(service);
		if (driver != null) {
			driver.release(handles);
		}
		else {
			this.context.releaser().release(handles);
		}
	}

	void withdraw(String service, PieceId id) {
		ifPresent(service, (driver) -> driver.withdraw(id));
	}

	void stop(Predicate<String> filter) {
		this.drivers.forEach((service, driver) -> {
			if (filter.test(service)) {
				driver.stop();
			}
		});
	}

	void handBackRunning(Predicate<String> filter) {
		this.drivers.forEach((service, driver) -> {
			if (filter.test(service)) {
				driver.handBackRunning();
			}
		});
	}

	// Returns the loads of the pools that pass a filter.
	List<PoolLoad> loads(Predicate<String> filter) {
		return this.drivers.entrySet()
			.stream()
			.filter((entry) -> filter.test(entry.getKey()))
			.map((entry) -> entry.getValue().load())
			.toList();
	}

	boolean idle() {
		return this.drivers.values().stream().allMatch(PoolDriver::idle);
	}

}
