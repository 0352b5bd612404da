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
 * A watcher watches the configuration and polls the other registers; any other VM polls
 * at a longer interval, as a fallback for gossip. Calls block, so they run on a separate
 * thread pool; their results are handled on the control thread. Not thread-safe: confined
 * to the control thread.
 *
 * @since 0.1
 */
final class PlatformReplicator implements AutoCloseable {

	private static final int THREAD_COUNT = 4;

	private final ObjectStore store;

	private final FleetState state;

	private final ControlThread control;

	private final EventLog events;

	private final StewardSettings settings;

	private final TaskFailureHandler failureHandler;

	private final Runnable onUpdate;

	private final AtomicBoolean watching = new AtomicBoolean();

	private final ExecutorService threads = Executors.newFixedThreadPool(THREAD_COUNT, (task) -> {
		Thread thread = new Thread(task, "platform");
		thread.setDaemon(true);
		return thread;
	});

	private long lastReplyMs = Long.MIN_VALUE;

	private long nextReadMs = Long.MIN_VALUE;

	private boolean failing;

	private int registerReadCount;

	PlatformReplicator(ObjectStore store, FleetState state, ControlThread control, EventLog events,
			TaskFailureHandler failureHandler, StewardSettings settings, Runnable onUpdate) {
		this.store = store;
		this.state = state;
		this.control = control;
		this.events = events;
		this.failureHandler = failureHandler;
		this.settings = settings;
		this.onUpdate = onUpdate;
	}

	/**
	 * Read the registers that are due. Must be called at each poll interval.
	 */
	void readDue() {
		boolean watcher = WatcherSelection.isWatcher(this.settings.vm().id(), this.settings.vm().domain(),
				this.state.vms());
		long nowMs = Clocks.SYSTEM.monotonicMs();
		if (watcher && this.watching.compareAndSet(false, true)) {
			watch();
		}
		if (nowMs < this.nextReadMs) {
			return;
		}
		boolean reached = this.lastReplyMs != Long.MIN_VALUE;
		this.nextReadMs = nowMs + ((watcher || !reached) ? this.settings.pollMs() : this.settings.backgroundMs());
		readSlotMap();
		long vmListVersion = this.state.register(RegisterName.VMS).version();
		submit(() -> this.store.readVmList(vmListVersion), (value) -> offerValue(RegisterName.VMS, value));
		if (!watcher || !reached) {
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
			offerValue(RegisterName.CONFIG, value);
			if (value.isPresent()) {
				readDue();
			}
		});
	}

	void readSlotMap() {
		readNewer(RegisterName.SLOTS);
	}

	private void readNewer(String name) {
		long version = this.state.register(name).version();
		submit(() -> this.store.watch(name, version, 0), (value) -> offerValue(name, value));
	}

	private void offerValue(String name, Optional<StoredValue> value) {
		this.registerReadCount++;
		if (value.isEmpty()) {
			return;
		}
		boolean applied = this.state.offer(name, value.get().version(), value.get().bytes(), "platform");
		fetchBlobs();
		if (applied) {
			this.onUpdate.run();
		}
	}

	private void fetchBlobs() {
		List<String> missing = this.state.missingBlobs();
		for (String digest : missing) {
			submit(() -> this.store.read(RegisterName.BLOB_PREFIX + digest), (value) -> {
				long previousVersion = this.state.manifest().version();
				value.ifPresent((stored) -> this.state.offerBlob(digest, stored.bytes(), "platform"));
				if (this.state.manifest().version() > previousVersion) {
					this.onUpdate.run();
				}
			});
		}
	}

	/**
	 * Write the slot map if the stored one still has the expected version.
	 * @param value the encoded slot map
	 * @param expectedVersion the expected version
	 * @param callback receives the result on the control thread
	 */
	void writeSlotMap(byte[] value, long expectedVersion, Consumer<WriteResult> callback) {
		this.threads.execute(this.failureHandler.wrap("platform write", () -> {
			WriteResult result = this.store.write(RegisterName.SLOTS, value, expectedVersion);
			this.control.execute("platform write", () -> {
				if (result.status() == WriteResult.Status.EFFECT_UNKNOWN) {
					this.events.emit(EventCode.PLATFORM_EFFECT_UNKNOWN, RegisterName.SLOTS + ": " + result.message());
				}
				else {
					onReply();
				}
				callback.accept(result);
			});
		}));
	}

	private void submit(Supplier<Either<PlatformError, Optional<StoredValue>>> call,
			Consumer<Optional<StoredValue>> callback) {
		this.threads.execute(this.failureHandler.wrap("platform read", () -> {
			Either<PlatformError, Optional<StoredValue>> result = call.get();
			this.control.execute("platform read", () -> {
				if (result.isLeft()) {
					onFailure(result.getLeft());
					return;
				}
				onReply();
				callback.accept(result.get());
			});
		}));
	}

	private void onReply() {
		this.lastReplyMs = Clocks.SYSTEM.monotonicMs();
		this.failing = false;
	}

	private void onFailure(PlatformError error) {
		if (!this.failing) {
			this.events.emit(EventCode.PLATFORM_FAILED, error.message());
		}
		this.failing = true;
	}

	/**
	 * Return whether the platform's service replied to the latest call.
	 * @return true if so; false before the first reply
	 */
	boolean isHealthy() {
		return this.lastReplyMs != Long.MIN_VALUE && !this.failing;
	}

	/**
	 * Return the time of the latest reply.
	 * @return the time by the monotonic clock; {@link Long#MIN_VALUE} if there was none
	 */
	long lastReplyMs() {
		return this.lastReplyMs;
	}

	/**
	 * Return whether there were at least as many successful reads as there are registers.
	 * @return true if so
	 */
	boolean hasReadRegisters() {
		return this.registerReadCount >= this.state.registers().size();
	}

	@Override
	public void close() {
		this.threads.shutdownNow();
	}

}
