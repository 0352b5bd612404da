package org.tallycart.node.piece;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import org.tallycart.core.fleet.LeaderRole;
import org.tallycart.core.pool.PieceId;
import org.tallycart.core.pool.PieceJob;
import org.tallycart.core.pool.PieceLatencyEstimator;
import org.tallycart.core.pool.PieceListener;
import org.tallycart.core.pool.PieceOutcome;
import org.tallycart.core.upstream.UpstreamDirectory;
import org.tallycart.node.EventLoop;
import org.tallycart.node.peer.PeerMesh;
import org.tallycart.node.peer.PeerMessageHandler;
import org.tallycart.node.store.ActiveConfig;
import org.tallycart.wire.message.Envelope;
import org.tallycart.wire.message.PieceAnswer;
import org.tallycart.wire.message.PieceAsk;
import org.tallycart.wire.message.PieceWithdrawal;

/**
 * Gets pieces made: here, where this VM is the pool's dispatcher, or by asking the VM
 * that is. When that VM is lost, its pieces are asked for again at the next one.
 * <p>
 * Invariant: an asker hears one outcome of each piece that it does not withdraw. Not
 * thread-safe: belongs to the event loop.
 *
 * @since 0.1
 */
public final class PieceService implements PeerMessageHandler {

	/** Time between two looks at pieces that are held, in milliseconds. */
	private static final long HELD_LOOK_MS = 25;

	private final String vm;

	private final EventLoop loop;

	private final ActiveConfig config;

	private final ResultReleaser returns;

	private final PoolDrivers drivers;

	private final Map<PieceId, Outstanding> outstanding = new HashMap<>();

	private final PieceOutbox outbox;

	private final UnroutedPieces held = new UnroutedPieces();

	private final PieceLatencyEstimator times = new PieceLatencyEstimator();

	private Optional<PeerMesh> mesh = Optional.empty();

	/**
	 * Create the service.
	 * @param vm this VM's name
	 * @param parts what all pools share
	 * @param config tells what workers can do
	 * @param directory tells which workers exist
	 */
	public PieceService(String vm, PoolContext parts, ActiveConfig config, UpstreamDirectory directory) {
		this.vm = vm;
		this.loop = parts.loop();
		this.config = config;
		this.returns = parts.returns();
		this.drivers = new PoolDrivers(parts, config, directory);
		this.outbox = new PieceOutbox(this.loop);
	}

	/**
	 * Begin to work with other VMs.
	 * @param peers the other VMs
	 */
	public void start(PeerMesh peers) {
		this.mesh = Optional.of(peers);
		this.outbox.start(peers);
	}

	/**
	 * Return the duties of VMs that this one may ask for pieces.
	 * @return one for each pool of the configuration
	 */
	public List<LeaderRole> duties() {
		return this.config.current()
			.map((current) -> current.services().values().stream())
			.orElse(Stream.empty())
			.filter((service) -> service.pool().isPresent())
			.map((service) -> LeaderRole.poolDispatcher(service.name()))
			.toList();
	}

	/** Take note that the configuration or the list of upstreams has changed. */
	public void refreshPools() {
		this.drivers.onChange();
	}

	/**
	 * Ask for a piece.
	 * @param job the piece
	 * @param asker hears its outcome
	 * @return the VM that dispatches it; empty while that is not known
	 */
	public String submit(PieceJob job, PieceListener asker) {
		this.times.onSubmitted(job, this.loop.nowMs());
		return dispatch(job, new TimedAsker(job, asker));
	}

	private String dispatch(PieceJob job, PieceListener asker) {
		if (!settled(job.service())) {
			if (this.held.isEmpty()) {
				this.loop.schedule(HELD_LOOK_MS, this::takeHeld);
			}
			this.held.hold(job, asker, this.loop.nowMs());
			return "";
		}
		return dispatchNow(job, asker);
	}

	private boolean settled(String service) {
		return this.mesh
			.map((peers) -> peers.duties().isLeaderKnown(LeaderRole.poolDispatcher(service), this.loop.nowMs()))
			.orElse(true);
	}

	private void takeHeld() {
		this.held.takeDue(this::settled, this.loop.nowMs()).forEach((each) -> dispatchNow(each.job(), each.asker()));
		if (!this.held.isEmpty()) {
			this.loop.schedule(HELD_LOOK_MS, this::takeHeld);
		}
	}

	private String dispatchNow(PieceJob job, PieceListener asker) {
		String owner = dispatcher(job.service());
		if (owner.equals(this.vm)) {
			this.drivers.driver(job.service()).ifPresent(PoolDriver::resume);
			askHere(job, asker);
		}
		else {
			this.outstanding.put(job.id(), new Outstanding(job, asker, owner));
			this.outbox.ask(owner, PieceMessageCodec.encode(job, this.loop.nowMs()));
		}
		return owner;
	}

	private String dispatcher(String service) {
		return this.mesh.map((peers) -> peers.holder(LeaderRole.poolDispatcher(service))).orElse(this.vm);
	}

	private void askHere(PieceJob job, PieceListener asker) {
		Optional<PoolDriver> driver = this.drivers.driver(job.service());
		if (driver.isPresent()) {
			driver.get().ask(job, asker);
		}
		else {
			this.loop.execute(() -> asker.onOutcome(job.id(), PieceOutcome.notCompleted(PieceOutcome.Status.FAILED)));
		}
	}

	/**
	 * Return how long a piece that is asked for now will probably take.
	 * @param service its pool
	 * @param priority the request's rank
	 * @return milliseconds
	 */
	public long expectedMs(String service, int priority) {
		return this.times.expectedMs(service, priority, this.loop.nowMs());
	}

	/**
	 * Withdraw a piece.
	 * @param service its pool
	 * @param id the piece
	 */
	public void withdraw(String service, PieceId id) {
		this.times.onWithdrawn(id);
		if (this.held.withdraw(id)) {
			return;
		}
		Outstanding remote = this.outstanding.remove(id);
		if (remote != null) {
			this.outbox.withdraw(remote.owner, PieceMessageCodec.withdrawal(service, id));
		}
		else {
			this.drivers.withdraw(service, id);
		}
	}

	/**
	 * Give results back. They go through the pool's dispatcher, which thereby knows how
	 * much room its workers have.
	 * @param service the pool
	 * @param handles the results
	 */
	public void release(String service, List<String> handles) {
		if (handles.isEmpty()) {
			return;
		}
		String owner = dispatcher(service);
		if (owner.equals(this.vm)) {
			this.drivers.release(service, handles);
		}
		else {
			this.outbox.release(owner, service, handles);
		}
	}

	@Override
	public void onMessage(String from, Envelope message) {
		switch (message.getBodyCase()) {
			case PIECE_ASKS -> message.getPieceAsks().getAsksList().forEach((ask) -> onAsk(from, ask));
			case PIECE_ANSWERS ->
				message.getPieceAnswers().getAnswersList().forEach((answer) -> onAnswer(from, answer));
			case PIECE_WITHDRAWALS -> message.getPieceWithdrawals().getWithdrawalsList().forEach(this::onWithdrawal);
			case PIECE_RELEASES -> message.getPieceReleases()
				.getReleasesList()
				.forEach((release) -> this.drivers.release(release.getService(), release.getHandlesList()));
			default -> {
				// Messages of other programs and of newer versions are not for this
				// service.
			}
		}
	}

	private void onAsk(String from, PieceAsk ask) {
		askHere(PieceMessageCodec.decode(ask, this.loop.nowMs()), new RemoteAsker(from));
	}

	private void onAnswer(String from, PieceAnswer answer) {
		switch (answer.getStatus()) {
			case INPUTS_READ -> Optional.ofNullable(this.outstanding.get(PieceMessageCodec.id(answer)))
				.ifPresent((waiting) -> waiting.asker.onInputsRead(waiting.job.id()));
			case HANDED_BACK -> onHandedBack(from, PieceMessageCodec.id(answer));
			default -> onOutcome(answer);
		}
	}

	// The VM that stops is not asked again, though its beats may not have told so yet.
	private void onHandedBack(String from, PieceId id) {
		this.mesh.ifPresent((peers) -> peers.onDraining(from));
		Outstanding waiting = this.outstanding.get(id);
		if (waiting != null && waiting.owner.equals(from)) {
			this.outstanding.remove(id);
			dispatch(waiting.job, waiting.asker);
		}
	}

	private void onOutcome(PieceAnswer answer) {
		PieceOutcome outcome = PieceMessageCodec.outcome(answer);
		Outstanding waiting = this.outstanding.remove(PieceMessageCodec.id(answer));
		if (waiting != null) {
			waiting.asker.onOutcome(waiting.job.id(), outcome);
		}
		else if (outcome.status() == PieceOutcome.Status.MADE) {
			this.returns.give(List.of(outcome.handle()));
		}
	}

	private void onWithdrawal(PieceWithdrawal withdrawal) {
		this.drivers.withdraw(withdrawal.getService(), PieceMessageCodec.id(withdrawal));
	}

	/**
	 * Hand the pools over to other VMs: no call is begun here any more, and pieces that
	 * wait are asked for at the next VM at once. To be called when this VM drains.
	 */
	public void handOver() {
		this.drivers.stop((service) -> !dispatcher(service).equals(this.vm));
	}

	@Override
	public void onLost(String lost) {
		for (Outstanding waiting : new ArrayList<>(this.outstanding.values())) {
			if (waiting.owner.equals(lost)) {
				this.outstanding.remove(waiting.job.id());
				dispatch(waiting.job, waiting.asker);
			}
		}
	}

	/**
	 * Return how many pieces other VMs were asked for and have not answered.
	 * @return the count
	 */
	public long outstanding() {
		return this.outstanding.size();
	}

	/**
	 * Return whether no piece is asked for or being made here.
	 * @return true if nothing is left to do
	 */
	public boolean idle() {
		return this.outstanding.isEmpty() && this.held.isEmpty() && this.drivers.idle();
	}

	/** Takes note of how long a piece took. */
	private final class TimedAsker implements PieceListener {

		private final PieceJob job;

		private final PieceListener asker;

		TimedAsker(PieceJob job, PieceListener asker) {
			this.job = job;
			this.asker = asker;
		}

		@Override
		public void onOutcome(PieceId id, PieceOutcome outcome) {
			PieceService.this.times.onOutcome(id, PieceService.this.loop.nowMs());
			this.asker.onOutcome(id, outcome);
		}

		@Override
		public void onInputsRead(PieceId id) {
			this.asker.onInputsRead(id);
		}

		@Override
		public void onHandedBack(PieceId id) {
			dispatch(this.job, this);
		}

	}

	/** Tells another VM what becomes of a piece that it asked for. */
	private final class RemoteAsker implements PieceListener {

		private final String vm;

		RemoteAsker(String vm) {
			this.vm = vm;
		}

		@Override
		public void onOutcome(PieceId id, PieceOutcome outcome) {
			PieceService.this.outbox.answer(this.vm, PieceMessageCodec.encode(id, outcome));
		}

		@Override
		public void onInputsRead(PieceId id) {
			PieceService.this.outbox.answer(this.vm, PieceMessageCodec.notice(id, PieceAnswer.Status.INPUTS_READ));
		}

		@Override
		public void onHandedBack(PieceId id) {
			PieceService.this.outbox.answer(this.vm, PieceMessageCodec.notice(id, PieceAnswer.Status.HANDED_BACK));
		}

	}

	/**
	 * A piece that another VM was asked for.
	 *
	 * @param job the piece
	 * @param asker who waits for it here
	 * @param owner the VM that was asked
	 */
	private record Outstanding(PieceJob job, PieceListener asker, String owner) {
	}

}
