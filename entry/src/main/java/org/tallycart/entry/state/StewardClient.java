package org.tallycart.entry.state;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.tallycart.core.claim.SlotMap;
import org.tallycart.core.declaration.DeclarationReader;
import org.tallycart.core.declaration.Declarations;
import org.tallycart.core.declaration.PolicySource;
import org.tallycart.core.ini.Address;
import org.tallycart.core.ini.IniParser;
import org.tallycart.core.ini.IniSection;
import org.tallycart.core.ini.Problem;
import org.tallycart.core.membership.VmList;
import org.tallycart.core.policy.Policy;
import org.tallycart.policy.CelPolicyCompiler;
import org.tallycart.runtime.event.EventCode;
import org.tallycart.runtime.event.EventLog;
import org.tallycart.runtime.process.TaskFailureHandler;
import org.tallycart.wire.WireClient;
import org.tallycart.wire.WireError;
import org.tallycart.wire.WireListener;
import org.tallycart.wire.WireTransport;
import org.tallycart.wire.message.Blob;
import org.tallycart.wire.message.Envelope;
import org.tallycart.wire.message.LeavingNotice;
import org.tallycart.wire.message.PartRef;
import org.tallycart.wire.message.ShareReport;
import org.tallycart.wire.message.StateUpdate;
import org.tallycart.wire.message.Subscribe;

/**
 * Client of this VM's steward. While the steward is unreachable, the last received state
 * stays active.
 * <p>
 * Invariant: versions never decrease, also across restarts of the steward. Thread-safe.
 *
 * @since 0.1
 */
public final class StewardClient implements AutoCloseable {

	private static final long SHARE_TIMEOUT_MS = 1_000;

	private final WireClient client;

	private final EventLog events;

	private final Consumer<EntryState> onState;

	private final CelPolicyCompiler compiler = CelPolicyCompiler.create();

	private final Map<String, String> configParts = new HashMap<>();

	private final Map<PolicySource, Policy> compiledPolicies = new HashMap<>();

	private final ExecutorService updateExecutor = Executors.newSingleThreadExecutor((task) -> {
		Thread reader = new Thread(task, "steward-link");
		reader.setDaemon(true);
		return reader;
	});

	private final AtomicBoolean disconnected = new AtomicBoolean(true);

	private volatile EntryState state = EntryState.EMPTY;

	private StewardClient(WireTransport transport, Address address, EventLog events, TaskFailureHandler failureHandler,
			Consumer<EntryState> onState) {
		this.events = events;
		this.onState = onState;
		this.client = transport.client(address, new WireListener() {

			@Override
			public void onMessage(Envelope message) {
				if (message.hasStateUpdate()) {
					StewardClient.this.updateExecutor
						.execute(failureHandler.wrap("state update", () -> applyUpdate(message.getStateUpdate())));
				}
			}

			@Override
			public void onOpen() {
				StewardClient.this.disconnected.set(false);
				StewardClient.this.client().send(Envelope.newBuilder().setSubscribe(Subscribe.getDefaultInstance()));
			}
		});
	}

	/**
	 * Create a client; {@link #ensureConnected()} opens the connection.
	 * @param transport the wire transport of the process
	 * @param address the steward's address
	 * @param events the event log of the process
	 * @param failureHandler handles failures of background tasks
	 * @param onState receives each new state
	 * @return the client
	 */
	public static StewardClient create(WireTransport transport, Address address, EventLog events,
			TaskFailureHandler failureHandler, Consumer<EntryState> onState) {
		return new StewardClient(transport, address, events, failureHandler, onState);
	}

	private WireClient client() {
		return this.client;
	}

	/**
	 * Reconnect if the connection is lost. Called periodically.
	 */
	public void ensureConnected() {
		if (!this.client.isConnected() && !this.disconnected.getAndSet(true)) {
			this.events.emit(EventCode.STEWARD_LOST, this.client.address().toString());
		}
		this.client.ensureConnected();
	}

	/**
	 * Return the latest state.
	 * @return the state
	 */
	public EntryState state() {
		return this.state;
	}

	/**
	 * Return whether the steward is connected.
	 * @return true if the connection is open
	 */
	public boolean isConnected() {
		return this.client.isConnected();
	}

	/**
	 * Report an upstream that stated it is draining to the steward.
	 * @param upstreamId id of the upstream
	 */
	public void reportDraining(String upstreamId) {
		this.client.send(Envelope.newBuilder().setLeavingNotice(LeavingNotice.newBuilder().addUpstreams(upstreamId)));
	}

	/**
	 * Request shares of the workspaces' limits.
	 * @param report this VM's demand
	 * @return a future of the reply, or of the error of the call
	 */
	public CompletableFuture<Either<WireError, Envelope>> requestShares(ShareReport report) {
		return this.client.call(Envelope.newBuilder().setShareReport(report), SHARE_TIMEOUT_MS);
	}

	private void applyUpdate(StateUpdate update) {
		for (Blob part : update.getPartsList()) {
			this.configParts.put(part.getDigest(), part.getValue().toString(StandardCharsets.UTF_8));
		}
		EntryState previous = this.state;
		EntryState next = withConfig(previous, update);
		next = withFleet(next, update);
		if (!next.equals(previous)) {
			this.state = next;
			this.onState.accept(next);
		}
		if (next.configVersion() > previous.configVersion()) {
			this.events.emit(EventCode.CONFIG_IN_FORCE, "version=" + next.configVersion());
		}
	}

	private EntryState withConfig(EntryState previous, StateUpdate update) {
		if (update.getConfigVersion() <= previous.configVersion()) {
			return previous;
		}
		List<IniSection> sections = new ArrayList<>();
		List<Problem> problems = new ArrayList<>();
		for (PartRef part : update.getPartRefsList()) {
			String text = this.configParts.get(part.getDigest());
			if (text == null) {
				return previous;
			}
			sections.addAll(IniParser.read(part.getName(), text, problems));
		}
		this.configParts.keySet().retainAll(update.getPartRefsList().stream().map(PartRef::getDigest).toList());
		Either<List<Problem>, Declarations> read = problems.isEmpty()
				? DeclarationReader.read(sections, (section, source) -> List.of()) : Either.left(problems);
		if (read.isLeft()) {
			this.events.emit(EventCode.CONFIG_UNREADABLE,
					"version=" + update.getConfigVersion() + " " + read.getLeft().get(0));
			return previous;
		}
		return new EntryState(update.getConfigVersion(), read.get(), compile(read.get()), previous.slots(),
				previous.slotsVersion(), previous.vms(), previous.draining(), previous.activeVms());
	}

	private Map<String, Policy> compile(Declarations declarations) {
		this.compiledPolicies.keySet().retainAll(new HashSet<>(declarations.policies().values()));
		Map<String, Policy> policies = new HashMap<>();
		declarations.policies()
			.forEach((id, source) -> policies.put(id, this.compiledPolicies.computeIfAbsent(source, this::policy)));
		return policies;
	}

	private Policy policy(PolicySource source) {
		Policy policy = this.compiler.compile(source, (id, rule, message) -> this.events
			.emit(EventCode.POLICY_RULE_FAILED, id + "." + rule + ": " + message));
		if (!source.shadow()) {
			return policy;
		}
		return new ShadowPolicy(source.id(), policy,
				(difference) -> this.events.emit(EventCode.POLICY_SHADOW_DIFFERS, difference));
	}

	private EntryState withFleet(EntryState previous, StateUpdate update) {
		SlotMap slots = previous.slots();
		long slotsVersion = previous.slotsVersion();
		if (update.getSlotsVersion() > slotsVersion) {
			slots = SlotMap.decode(update.getSlots()).getOrElse(slots);
			slotsVersion = update.getSlotsVersion();
		}
		VmList vms = previous.vms();
		if (update.getVmsVersion() > vms.version()) {
			vms = VmList.decode(update.getVmsVersion(), update.getVms()).getOrElse(vms);
		}
		HashSet<String> draining = new HashSet<>(previous.draining());
		draining.addAll(update.getLeavingList());
		return new EntryState(previous.configVersion(), previous.declarations(), previous.policies(), slots,
				slotsVersion, vms, draining, Math.max(update.getActiveVms(), 1));
	}

	@Override
	public void close() {
		this.client.close();
		this.updateExecutor.shutdownNow();
	}

}
