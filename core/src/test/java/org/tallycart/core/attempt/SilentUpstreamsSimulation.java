package org.tallycart.core.attempt;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

/**
 * Simulation of VMs whose upstreams fall silent and go on, crash, or are gone without a
 * word, in virtual time: the production attempts, directories, budgets, choosers and
 * dispatcher, and simulated requests, upstreams and connections. Uses no network, threads
 * or clock.
 * <p>
 * Invariants: a simulated upstream does nothing while it is silent; what it was about to
 * do follows afterwards. A violation is recorded from what callers and upstreams see, not
 * from the state of the classes under test. Not thread-safe: belongs to one test.
 */
final class SilentUpstreamsSimulation {

	private static final int MIN_SILENCE_MS = 300;

	private static final int MAX_SILENCE_MS = 2_500;

	/** Limits of requests before and between changes of the configuration. */
	static final SimulatedRequest.Limits DEFAULT_LIMITS = new SimulatedRequest.Limits(10_000, 6_000, 1_200, 500, 300);

	static final String ENGINE = "engine";

	static final String PLAIN = "plain";

	static final String STAGE = "stage";

	static final int DOMAINS = 4;

	private static final int SLOTS = 8;

	private static final int MAX_UPSTREAMS = 80;

	static final long RESTART_MS = 1_500;

	final VirtualClock clock = new VirtualClock();

	final SimulationRecorder recorder = new SimulationRecorder(this.clock);

	final SimulatedRequest.Reaction reaction;

	final Random random;

	final List<SimulatedVm> vms;

	final List<SimulatedUpstream> engines;

	final List<SimulatedUpstream> plainUpstreams;

	final List<SimulatedUpstream> stageWorkers;

	final SimulatedStagePool pool;

	boolean calling = true;

	SimulatedRequest.Limits limits = DEFAULT_LIMITS;

	/** Share of requests that upstreams reject as not run. */
	double rejectedShare;

	SilentUpstreamsSimulation(int vmCount, SimulatedRequest.Reaction reaction, long seed) {
		this.reaction = reaction;
		this.random = new Random(seed);
		this.engines = upstreams(ENGINE, vmCount * 4 / 3);
		this.plainUpstreams = upstreams(PLAIN, vmCount / 2 + 1);
		this.stageWorkers = upstreams(STAGE, vmCount / 2 + 1);
		this.pool = new SimulatedStagePool(this);
		this.vms = IntStream.range(0, vmCount)
			.mapToObj((i) -> new SimulatedVm(this, "vm-" + i, "d" + i % DOMAINS))
			.toList();
		this.vms.forEach((vm) -> {
			vm.start();
			after(this.random.nextInt((int) SimulatedVm.STREAM_INTERVAL_MS), () -> vm.call(true));
			after(this.random.nextInt((int) SimulatedVm.PLAIN_INTERVAL_MS), () -> vm.call(false));
		});
	}

	// Large fleets have upstreams with more slots.
	private List<SimulatedUpstream> upstreams(String service, int count) {
		int created = Math.min(count, MAX_UPSTREAMS);
		int slots = SLOTS * count / created;
		return IntStream.range(0, created).mapToObj((i) -> new SimulatedUpstream(this, service, i, slots)).toList();
	}

	void every(long intervalMs, long untilMs, Runnable action) {
		this.clock.every(intervalMs, untilMs, action);
	}

	void after(long delayMs, Runnable action) {
		this.clock.after(delayMs, action);
	}

	void run(long ms) {
		this.clock.run(ms);
	}

	/** Let the callers stop, wait until all requests have ended, and check them. */
	void finish() {
		this.calling = false;
		run(DEFAULT_LIMITS.timeoutMs() + RESTART_MS);
		this.recorder.check();
		this.vms.forEach(SimulatedVm::checkErrorRates);
	}

	SimulationRecorder recorder() {
		return this.recorder;
	}

	List<SimulatedUpstream> engines() {
		return this.engines;
	}

	List<SimulatedUpstream> plainUpstreams() {
		return this.plainUpstreams;
	}

	List<SimulatedUpstream> stageWorkers() {
		return this.stageWorkers;
	}

	List<SimulatedVm> vms() {
		return this.vms;
	}

	<T> List<T> sample(List<T> all, int count) {
		List<T> shuffled = new ArrayList<>(all);
		Collections.shuffle(shuffled, this.random);
		return shuffled.subList(0, Math.min(count, shuffled.size()));
	}

	void silence(List<SimulatedUpstream> silenced) {
		silenced.forEach((upstream) -> upstream
			.silence(MIN_SILENCE_MS + this.random.nextInt(MAX_SILENCE_MS - MIN_SILENCE_MS + 1)));
	}

	SimulatedUpstream find(String id) {
		List<SimulatedUpstream> all = id.startsWith(ENGINE) ? this.engines : this.plainUpstreams;
		return all.get(Integer.parseInt(id.substring(id.indexOf('-') + 1)));
	}

	void rejectShare(double share) {
		this.rejectedShare = share;
	}

	void configure(SimulatedRequest.Limits changed) {
		this.limits = changed;
	}

}
