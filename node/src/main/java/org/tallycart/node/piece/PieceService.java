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
import org.tallycart.core.pool.PoolLoad;
import org.tallycart.core.pool.PoolLoads;
import org.tallycart.core.upstream.UpstreamDirectory;
import org.tallycart.node.EventLoop;
import org.tallycart.node.peer.PeerMesh;
import org.tallycart.node.peer.PeerMessageHandler;
import org.tallycart.node.store.ActiveConfig;
import org.tallycart.wire.message.Envelope;
import org.tallycart.wire.message.NodeBeat;
import org.tallycart.wire.message.PieceAnswer;
import org.tallycart.wire.message.PieceAsk;
import org.tallycart.wire.message.PieceWithdrawal;

/**
 * Runs pieces of stages: submits each to the dispatcher of its pool, which is this VM or
 * another one. When that VM fails, its pieces are submitted to the next dispatcher.
 * <p>
 * Invariant: a listener gets one outcome for each piece that is not withdrawn. Not
 * thread-safe: confined to the event loop.
 *
 * @since 0.1
 */
public final class PieceService implements PeerMessageHandler {

	/** Interval of the checks for unrouted pieces, in milliseconds. */
	private static final long UNROUTED_CHECK_MS = 25;

	private final String vm;

	private final EventLoop loop;

	private final ActiveConfig config;

	private final ResultReleaser releaser;

	private final PoolDrivers drivers;

	private final Map<PieceId, RemotePiece> outstanding = new HashMap<>();

	private final PieceOutbox outbox;

	private final UnroutedPieces unrouted = new UnroutedPieces();

	private final PieceLatencyEstimator latencies = new PieceLatencyEstimator();

	private final PoolLoads loads = new PoolLoads();

	private Optional<PeerMesh> mesh = Optional.empty();

	/**
	 * Create the service.
	 * @param vm this VM's name
	 * @param context the dependencies of all pools
	 * @param config the active configuration, which describes the pools
	 * @param directory the workers that exist
	 */
	public PieceService(String vm, PoolContext context, ActiveConfig config, UpstreamDirectory directory) {
		this.vm = vm;
		this.loop = context.loop();
		this.config = config;
		this.releaser = context.releaser();
		this.drivers = new PoolDrivers(context, config, directory);
		this.outbox = new PieceOutbox(this.loop);
	}

	/**
	 * Start to submit pieces to other VMs.
	 * @param peers the connections to the other VMs
	 */
	public void start(PeerMesh peers) {
		this.mesh = Optional.of(peers);
		this.outbox.start(peers);
	}

	/**
	 * Return the leader roles of the VMs that dispatch pieces.
	 * @return one role for each configured pool
	 */
	public List<LeaderRole> watchedRoles() {
		return this.config.current()
			.map((current) -> current.services().values().stream())
			.orElse(Stream.empty())
			.filter((service) -> service.pool().isPresent())
			.map((service) -> LeaderRole.poolDispatcher(service.name()))
			.toList();
	}

	/** Apply a change of the configuration or of the list of upstreams. */
	public void refreshPools() {
		this.drivers.refresh();
	}

	/**
	 * Submit a piece to the dispatcher of its pool.
	 * @param job the piece
	 * @param listener the listener for its outcome
	 * @return the name of the dispatching VM; empty while it is not known
	 */
	public String submit(PieceJob job, PieceListener listener) {
		this.latencies.onSubmitted(job, this.loop.nowMs());
		return dispatch(job, new TimingListener(job, listener));
	}

	private String dispatch(PieceJob job, PieceListener listener) {
		if (!isDispatcherKnown(job.service())) {
			if (this.unrouted.isEmpty()) {
				this.loop.schedule(UNROUTED_CHECK_MS, this::routePieces);
			}
			this.unrouted.add(job, listener, this.loop.nowMs());
			return "";
		}
		return route(job, listener);
	}

	private boolean isDispatcherKnown(String service) {
		return this.mesh
			.map((peers) -> peers.watchedRoles().isLeaderKnown(LeaderRole.poolDispatcher(service), this.loop.nowMs()))
			.orElse(true);
	}

	private void routePieces() {
		this.unrouted.takeDue(this::isDispatcherKnown, this.loop.nowMs())
			.forEach((piece) -> route(piece.job(), piece.listener()));
		if (!this.unrouted.isEmpty()) {
			this.loop.schedule(UNROUTED_CHECK_MS, this::routePieces);
		}
	}

	private String route(PieceJob job, PieceListener listener) {
		String dispatcher = dispatcher(job.service());
		if (dispatcher.equals(this.vm)) {
			this.drivers.driver(job.service()).ifPresent(PoolDriver::resume);
			submitLocally(job, listener);
		}
		else {
			this.outstanding.put(job.id(), new RemotePiece(job, listener, dispatcher));
			this.outbox.submit(dispatcher, PieceMessageCodec.encode(job, this.loop.nowMs()));
		}
		return dispatcher;
	}

	private String dispatcher(String service) {
		return this.mesh.map((peers) -> peers.leader(LeaderRole.poolDispatcher(service))).orElse(this.vm);
	}

	private void submitLocally(PieceJob job, PieceListener listener) {
		Optional<PoolDriver> driver = this.drivers.driver(job.service());
		if (driver.isPresent()) {
			driver.get().submit(job, listener);
		}
		else {
			this.loop
				.execute(() -> listener.onOutcome(job.id(), PieceOutcome.notCompleted(PieceOutcome.Status.FAILED)));
		}
	}

	/**
	 * Estimate how long a piece takes that is submitted now.
	 * @param service the pool
	 * @param priority the priority of the request; 0 is the highest
	 * @return milliseconds
	 */
	public long expectedMs(String service, int priority) {
		long nowMs = this.loop.nowMs();
		return load(service).map((load) -> Math.max(PieceLatencyEstimator.DEFAULT_MS, load.expectedMs(priority)))
			.orElseGet(() -> this.latencies.expectedMs(service, priority, nowMs));
	}

	/**
	 * Return the late work of a pool that a request would come behind, as far as its
	 * dispatcher has stated it lately.
	 * @param service the pool
	 * @param priority the priority of the request; 0 is the highest
	 * @param workspace the workspace of its caller; empty without one
	 * @return milliseconds of all workers' time; 0 if the load is not known
	 */
	public long lateMs(String service, int priority, String workspace) {
		return load(service).map((load) -> load.lateMs(priority, workspace)).orElse(0L);
	}

	private Optional<PoolLoad> load(String service) {
		boolean local = dispatcher(service).equals(this.vm);
		return local ? this.drivers.driver(service).map(PoolDriver::load)
				: this.loads.latest(service, this.loop.nowMs());
	}

	@Override
	public void prepareHeartbeatReply(NodeBeat.Builder reply) {
		this.drivers.loads((service) -> dispatcher(service).equals(this.vm))
			.forEach((load) -> reply.addPools(PieceMessageCodec.encode(load)));
	}

	@Override
	public void onHeartbeatReply(NodeBeat reply) {
		reply.getPoolsList()
			.forEach((status) -> this.loads.update(PieceMessageCodec.decode(status), this.loop.nowMs()));
	}

	/**
	 * Return the time to plan for a stage that starts after others.
	 * @param service the pool
	 * @param priority the priority of the request; 0 is the highest
	 * @return milliseconds
	 */
	public long laterStageMs(String service, int priority) {
		return Math.max(PieceLatencyEstimator.MIN_LATER_STAGE_MS, expectedMs(service, priority));
	}

	/**
	 * Withdraw a piece; its listener gets no outcome.
	 * @param service the pool
	 * @param id the id of the piece
	 */
	public void withdraw(String service, PieceId id) {
		this.latencies.onWithdrawn(id);
		if (this.unrouted.withdraw(id)) {
			return;
		}
		RemotePiece piece = this.outstanding.remove(id);
		if (piece != null) {
			this.outbox.withdraw(piece.dispatcher, PieceMessageCodec.withdrawal(service, id));
		}
		else {
			this.drivers.withdraw(service, id);
		}
	}

	/**
	 * Release results by way of the pool's dispatcher, which tracks the result memory of
	 * its workers.
	 * @param service the pool
	 * @param handles the handles of the results
	 */
	public void release(String service, List<String> handles) {
		if (handles.isEmpty()) {
			return;
		}
		String dispatcher = dispatcher(service);
		if (dispatcher.equals(this.vm)) {
			this.drivers.release(service, handles);
		}
		else {
			this.outbox.release(dispatcher, service, handles);
		}
	}

	@Override
	public void onMessage(String from, Envelope message) {
		switch (message.getBodyCase()) {
			case PIECE_ASKS -> message.getPieceAsks().getAsksList().forEach((ask) -> onSubmission(from, ask));
			case PIECE_ANSWERS -> message.getPieceAnswers().getAnswersList().forEach((answer) -> onReply(from, answer));
			case PIECE_WITHDRAWALS -> message.getPieceWithdrawals().getWithdrawalsList().forEach(this::onWithdrawal);
			case PIECE_RELEASES -> message.getPieceReleases()
				.getReleasesList()
				.forEach((release) -> this.drivers.release(release.getService(), release.getHandlesList()));
			default -> {
				// Ignores messages for other handlers and of newer versions.
			}
		}
	}

	private void onSubmission(String from, PieceAsk ask) {
		submitLocally(PieceMessageCodec.decode(ask, this.loop.nowMs()), new RemoteListener(from));
	}

	private void onReply(String from, PieceAnswer answer) {
		switch (answer.getStatus()) {
			case INPUTS_READ -> Optional.ofNullable(this.outstanding.get(PieceMessageCodec.id(answer)))
				.ifPresent((piece) -> piece.listener.onInputsRead(piece.job.id()));
			case HANDED_BACK -> onHandedBack(from, PieceMessageCodec.id(answer));
			default -> onOutcome(answer);
		}
	}

	// Marks the VM as draining first, so that the piece is not submitted to it again: its
	// heartbeats may not have reported that yet.
	private void onHandedBack(String from, PieceId id) {
		this.mesh.ifPresent((peers) -> peers.onDraining(from));
		RemotePiece piece = this.outstanding.get(id);
		if (piece != null && piece.dispatcher.equals(from)) {
			this.outstanding.remove(id);
			dispatch(piece.job, piece.listener);
		}
	}

	private void onOutcome(PieceAnswer answer) {
		PieceOutcome outcome = PieceMessageCodec.outcome(answer);
		RemotePiece piece = this.outstanding.remove(PieceMessageCodec.id(answer));
		if (piece != null) {
			piece.listener.onOutcome(piece.job.id(), outcome);
		}
		else if (outcome.status() == PieceOutcome.Status.MADE) {
			this.releaser.release(List.of(outcome.handle()));
		}
	}

	private void onWithdrawal(PieceWithdrawal withdrawal) {
		this.drivers.withdraw(withdrawal.getService(), PieceMessageCodec.id(withdrawal));
	}

	/**
	 * Hand the pools over to other VMs: start no more calls, and return pending pieces to
	 * their submitters, which submit them to the next dispatcher. To be called when this
	 * VM drains.
	 */
	public void handOver() {
		this.drivers.stop((service) -> !dispatcher(service).equals(this.vm));
	}

	/**
	 * Return the pieces whose calls are still in progress to their submitters, too. To be
	 * called some time after {@link #handOver()}, when these calls take too long.
	 */
	public void handBack() {
		this.drivers.handBackRunning((service) -> !dispatcher(service).equals(this.vm));
	}

	@Override
	public void onPeerFailed(String failed) {
		for (RemotePiece piece : new ArrayList<>(this.outstanding.values())) {
			if (piece.dispatcher.equals(failed)) {
				this.outstanding.remove(piece.job.id());
				dispatch(piece.job, piece.listener);
			}
		}
	}

	/**
	 * Return the number of pieces submitted to other VMs that have no outcome yet.
	 * @return the count
	 */
	public long outstanding() {
		return this.outstanding.size();
	}

	/**
	 * Return whether there are no pieces in progress, submitted by this VM or dispatched
	 * here.
	 * @return true if there are none
	 */
	public boolean idle() {
		return this.outstanding.isEmpty() && this.unrouted.isEmpty() && this.drivers.idle();
	}

	/** Records the latency of a piece. */
	private final class TimingListener implements PieceListener {

		private final PieceJob job;

		private final PieceListener listener;

		TimingListener(PieceJob job, PieceListener listener) {
			this.job = job;
			this.listener = listener;
		}

		@Override
		public void onOutcome(PieceId id, PieceOutcome outcome) {
			PieceService.this.latencies.onOutcome(id, outcome, PieceService.this.loop.nowMs());
			this.listener.onOutcome(id, outcome);
		}

		@Override
		public void onInputsRead(PieceId id) {
			this.listener.onInputsRead(id);
		}

		@Override
		public void onHandedBack(PieceId id) {
			dispatch(this.job, this);
		}

	}

	/** Sends the outcome of a piece to the VM that submitted it. */
	private final class RemoteListener implements PieceListener {

		private final String vm;

		RemoteListener(String vm) {
			this.vm = vm;
		}

		@Override
		public void onOutcome(PieceId id, PieceOutcome outcome) {
			PieceService.this.outbox.reply(this.vm, PieceMessageCodec.encode(id, outcome));
		}

		@Override
		public void onInputsRead(PieceId id) {
			PieceService.this.outbox.reply(this.vm, PieceMessageCodec.notice(id, PieceAnswer.Status.INPUTS_READ));
		}

		@Override
		public void onHandedBack(PieceId id) {
			PieceService.this.outbox.reply(this.vm, PieceMessageCodec.notice(id, PieceAnswer.Status.HANDED_BACK));
		}

	}

	/**
	 * A piece that was submitted to another VM.
	 *
	 * @param job the piece
	 * @param listener the local listener for its outcome
	 * @param dispatcher the name of the VM
	 */
	private record RemotePiece(PieceJob job, PieceListener listener, String dispatcher) {
	}

}
