package org.tallycart.steward;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.vavr.control.Either;
import org.tallycart.core.membership.WatcherSelection;
import org.tallycart.platform.ObjectStore;
import org.tallycart.platform.PlatformError;
import org.tallycart.platform.StoredValue;
import org.tallycart.platform.WriteResult;
import org.tallycart.runtime.event.EventCode;
import org.tallycart.runtime.event.EventLog;
import org.tallycart.runtime.process.Clocks;
import org.tallycart.runtime.process.TaskFailureHandler;

/**
 * Reads the registers from the platform's service and offers them to the fleet state.
 * <p>
 * A watcher watches the configuration and polls the rest; any other VM reads now and
 * then, as a second way beside its peers. Calls block, so they run on threads of their
 * own; results come back on the control thread. Not thread-safe but for what says so.
 *
 * @since 0.1
 */
final class PlatformReplicator implements AutoCloseable {

	private static final int THREADS = 4;

	private final ObjectStore store;

	private final FleetState state;

	private final ControlThread control;

	private final EventLog events;

	private final StewardSettings settings;

	private final TaskFailureHandler guard;

	private final Runnable onNews;

	private final AtomicBoolean watching = new AtomicBoolean();

	private final ExecutorService threads = Executors.newFixedThreadPool(THREADS, (task) -> {
		Thread thread = new Thread(task, "platform");
		thread.setDaemon(true);
		return thread;
	});

	private long answeredMs = Long.MIN_VALUE;

	private long nextReadMs = Long.MIN_VALUE;

	private boolean failing;

	private int registersRead;

	PlatformReplicator(ObjectStore store, FleetState state, ControlThread control, EventLog events,
			TaskFailureHandler guard, StewardSettings settings, Runnable onNews) {
		this.store = store;
		this.state = state;
		this.control = control;
		this.events = events;
		this.guard = guard;
		this.settings = settings;
		this.onNews = onNews;
	}

	/**
	 * Read what is due. Called at each poll interval.
	 */
	void tick() {
		boolean watcher = WatcherSelection.isWatcher(this.settings.vm().id(), this.settings.vm().domain(),
				this.state.vms());
		long nowMs = Clocks.SYSTEM.monotonicMs();
		if (watcher && this.watching.compareAndSet(false, true)) {
			watch();
		}
		if (nowMs < this.nextReadMs) {
			return;
		}
		boolean known = this.answeredMs != Long.MIN_VALUE;
		this.nextReadMs = nowMs + ((watcher || !known) ? this.settings.pollMs() : this.settings.backgroundMs());
		readSlots();
		long listVersion = this.state.register(RegisterName.VMS).version();
		submit(() -> this.store.readVmList(listVersion), (value) -> take(RegisterName.VMS, value));
		if (!watcher || !known) {
			readNewer(RegisterName.CONFIG);
		}
		fetchBlobs();
	}

	private void watch() {
		long version = this.state.register(RegisterName.CONFIG).version();
		submit(() -> {
			Either<PlatformError, Optional<StoredValue>> result = this.store.watch(RegisterName.CONFIG, version,
					this.settings.watchWaitMs());
			this.watching.set(false);
			return result;
		}, (value) -> {
			take(RegisterName.CONFIG, value);
			if (value.isPresent()) {
				tick();
			}
		});
	}

	void readSlots() {
		readNewer(RegisterName.SLOTS);
	}

	private void readNewer(String name) {
		long version = this.state.register(name).version();
		submit(() -> this.store.watch(name, version, 0), (value) -> take(name, value));
	}

	private void take(String name, Optional<StoredValue> value) {
		this.registersRead++;
		if (value.isEmpty()) {
			return;
		}
		boolean news = this.state.offer(name, value.get().version(), value.get().bytes(), "platform");
		fetchBlobs();
		if (news) {
			this.onNews.run();
		}
	}

	private void fetchBlobs() {
		List<String> missing = this.state.missingBlobs();
		for (String digest : missing) {
			submit(() -> this.store.read(RegisterName.BLOB_PREFIX + digest), (value) -> {
				long before = this.state.manifest().version();
				value.ifPresent((stored) -> this.state.offerBlob(digest, stored.bytes(), "platform"));
				if (this.state.manifest().version() > before) {
					this.onNews.run();
				}
			});
		}
	}

	/**
	 * Write the slot map if it still has a version. The result comes on the control
	 * thread.
	 * @param value the value
	 * @param expectedVersion the version
	 * @param then takes the result
	 */
	void writeSlots(byte[] value, long expectedVersion, Consumer<WriteResult> then) {
		this.threads.execute(this.guard.wrap("platform write", () -> {
			WriteResult result = this.store.write(RegisterName.SLOTS, value, expectedVersion);
			this.control.execute("platform write", () -> {
				if (result.status() == WriteResult.Status.EFFECT_UNKNOWN) {
					this.events.emit(EventCode.PLATFORM_EFFECT_UNKNOWN, RegisterName.SLOTS + ": " + result.message());
				}
				else {
					answered();
				}
				then.accept(result);
			});
		}));
	}

	private void submit(Supplier<Either<PlatformError, Optional<StoredValue>>> call,
			Consumer<Optional<StoredValue>> then) {
		this.threads.execute(this.guard.wrap("platform read", () -> {
			Either<PlatformError, Optional<StoredValue>> result = call.get();
			this.control.execute("platform read", () -> {
				if (result.isLeft()) {
					failed(result.getLeft());
					return;
				}
				answered();
				then.accept(result.get());
			});
		}));
	}

	private void answered() {
		this.answeredMs = Clocks.SYSTEM.monotonicMs();
		this.failing = false;
	}

	private void failed(PlatformError error) {
		if (!this.failing) {
			this.events.emit(EventCode.PLATFORM_FAILED, error.message());
		}
		this.failing = true;
	}

	/**
	 * Return whether the latest call was answered.
	 * @return false during an outage
	 */
	boolean healthy() {
		return this.answeredMs != Long.MIN_VALUE && !this.failing;
	}

	/**
	 * Return when a call was last answered.
	 * @return by the monotonic clock; {@link Long#MIN_VALUE} if never
	 */
	long answeredMs() {
		return this.answeredMs;
	}

	/**
	 * Return whether every register was read at least once.
	 * @return true if so
	 */
	boolean readOnce() {
		return this.registersRead >= this.state.registers().size();
	}

	@Override
	public void close() {
		this.threads.shutdownNow();
	}

}
