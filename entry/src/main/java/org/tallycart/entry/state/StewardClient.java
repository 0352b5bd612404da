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
 * Connection to this VM's steward. When the steward is gone, the entry keeps what it last
 * heard.
 * <p>
 * Invariant: versions only rise, also across restarts of the steward. Thread-safe.
 *
 * @since 0.1
 */
public final class StewardClient implements AutoCloseable {

	private static final long SHARE_TIMEOUT_MS = 1_000;

	private final WireClient client;

	private final EventLog events;

	private final Consumer<EntryState> onState;

	private final CelPolicyCompiler compiler = CelPolicyCompiler.create();

	private final Map<String, String> parts = new HashMap<>();

	private final Map<PolicySource, Policy> compiled = new HashMap<>();

	private final ExecutorService thread = Executors.newSingleThreadExecutor((task) -> {
		Thread reader = new Thread(task, "steward-link");
		reader.setDaemon(true);
		return reader;
	});

	private final AtomicBoolean lost = new AtomicBoolean(true);

	private volatile EntryState state = EntryState.EMPTY;

	private StewardClient(WireTransport transport, Address address, EventLog events, TaskFailureHandler guard,
			Consumer<EntryState> onState) {
		this.events = events;
		this.onState = onState;
		this.client = transport.client(address, new WireListener() {

			@Override
			public void onMessage(Envelope message) {
				if (message.hasStateUpdate()) {
					StewardClient.this.thread
						.execute(guard.wrap("state update", () -> adopt(message.getStateUpdate())));
				}
			}

			@Override
			public void onOpen() {
				StewardClient.this.lost.set(false);
				StewardClient.this.client().send(Envelope.newBuilder().setSubscribe(Subscribe.getDefaultInstance()));
			}
		});
	}

	/**
	 * Create a link, which connects at its first tick.
	 * @param transport the process's transport
	 * @param address the steward's address
	 * @param events the process's events
	 * @param guard watches over background tasks
	 * @param onState takes each new state
	 * @return the link
	 */
	public static StewardClient create(WireTransport transport, Address address, EventLog events,
			TaskFailureHandler guard, Consumer<EntryState> onState) {
		return new StewardClient(transport, address, events, guard, onState);
	}

	private WireClient client() {
		return this.client;
	}

	/**
	 * Connect again if the connection is lost. Called now and then.
	 */
	public void ensureConnected() {
		if (!this.client.isConnected() && !this.lost.getAndSet(true)) {
			this.events.emit(EventCode.STEWARD_LOST, this.client.address().toString());
		}
		this.client.ensureConnected();
	}

	/**
	 * Return what is known now.
	 * @return the state
	 */
	public EntryState state() {
		return this.state;
	}

	/**
	 * Return whether the steward is connected.
	 * @return true if it is
	 */
	public boolean isConnected() {
		return this.client.isConnected();
	}

	/**
	 * Tell the steward of an upstream that said it is leaving.
	 * @param upstreamId the upstream
	 */
	public void reportDraining(String upstreamId) {
		this.client.send(Envelope.newBuilder().setLeavingNotice(LeavingNotice.newBuilder().addUpstreams(upstreamId)));
	}

	/**
	 * Ask for shares of workspace limits.
	 * @param report this VM's demand
	 * @return the answer to come
	 */
	public CompletableFuture<Either<WireError, Envelope>> requestShares(ShareReport report) {
		return this.client.call(Envelope.newBuilder().setShareReport(report), SHARE_TIMEOUT_MS);
	}

	private void adopt(StateUpdate update) {
		for (Blob part : update.getPartsList()) {
			this.parts.put(part.getDigest(), part.getValue().toString(StandardCharsets.UTF_8));
		}
		EntryState before = this.state;
		EntryState next = withConfig(before, update);
		next = withFleet(next, update);
		if (!next.equals(before)) {
			this.state = next;
			this.onState.accept(next);
		}
		if (next.configVersion() > before.configVersion()) {
			this.events.emit(EventCode.CONFIG_IN_FORCE, "version=" + next.configVersion());
		}
	}

	private EntryState withConfig(EntryState before, StateUpdate update) {
		if (update.getConfigVersion() <= before.configVersion()) {
			return before;
		}
		List<IniSection> sections = new ArrayList<>();
		List<Problem> problems = new ArrayList<>();
		for (PartRef part : update.getPartRefsList()) {
			String text = this.parts.get(part.getDigest());
			if (text == null) {
				return before;
			}
			sections.addAll(IniParser.read(part.getName(), text, problems));
		}
		this.parts.keySet().retainAll(update.getPartRefsList().stream().map(PartRef::getDigest).toList());
		Either<List<Problem>, Declarations> read = problems.isEmpty()
				? DeclarationReader.read(sections, (section, source) -> List.of()) : Either.left(problems);
		if (read.isLeft()) {
			this.events.emit(EventCode.CONFIG_UNREADABLE,
					"version=" + update.getConfigVersion() + " " + read.getLeft().get(0));
			return before;
		}
		return new EntryState(update.getConfigVersion(), read.get(), compile(read.get()), before.slots(),
				before.slotsVersion(), before.vms(), before.leaving(), before.activeVms());
	}

	private Map<String, Policy> compile(Declarations declarations) {
		this.compiled.keySet().retainAll(new HashSet<>(declarations.policies().values()));
		Map<String, Policy> policies = new HashMap<>();
		declarations.policies()
			.forEach((id, source) -> policies.put(id, this.compiled.computeIfAbsent(source, this::policy)));
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

	private EntryState withFleet(EntryState before, StateUpdate update) {
		SlotMap slots = before.slots();
		long slotsVersion = before.slotsVersion();
		if (update.getSlotsVersion() > slotsVersion) {
			slots = SlotMap.decode(update.getSlots()).getOrElse(slots);
			slotsVersion = update.getSlotsVersion();
		}
		VmList vms = before.vms();
		if (update.getVmsVersion() > vms.version()) {
			vms = VmList.decode(update.getVmsVersion(), update.getVms()).getOrElse(vms);
		}
		HashSet<String> leaving = new HashSet<>(before.leaving());
		leaving.addAll(update.getLeavingList());
		return new EntryState(before.configVersion(), before.declarations(), before.policies(), slots, slotsVersion,
				vms, leaving, Math.max(update.getActiveVms(), 1));
	}

	@Override
	public void close() {
		this.client.close();
		this.thread.shutdownNow();
	}

}
