package org.tallycart.core.pool;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.IntToLongFunction;

import org.jspecify.annotations.Nullable;
import org.tallycart.core.serving.StageSpec;

/**
 * Which pieces of a request are made, and which can be made next.
 * <p>
 * Invariants: a stage is started once, when all pieces of the stages before it are made;
 * its pieces get all of their results, in order of stage and piece, and no others. Not
 * thread-safe: belongs to one request.
 *
 * @since 0.1
 */
public final class StagePlan {

	/** A result of this size fills a maker's room a few times over, in bytes. */
	private static final long LARGE_RESULT_BYTES = 500_000;

	private final List<StageSpec> stages;

	private final @Nullable String[][] handles;

	private final boolean[][] read;

	private final boolean[] started;

	private final boolean[] spent;

	/**
	 * Create a plan.
	 * @param stages the route's stages
	 * @param counts the number of pieces of each stage; a stage without a number has none
	 */
	public StagePlan(List<StageSpec> stages, List<Integer> counts) {
		this.stages = stages;
		this.handles = new String[stages.size()][];
		this.read = new boolean[stages.size()][];
		this.started = new boolean[stages.size()];
		this.spent = new boolean[stages.size()];
		for (int i = 0; i < stages.size(); i++) {
			this.handles[i] = new String[(i < counts.size()) ? Math.max(counts.get(i), 0) : 0];
			this.read[i] = new boolean[this.handles[i].length];
		}
	}

	/**
	 * Start the stages whose inputs are all made. Large results that only the request
	 * itself reads are made last, since their makers have little room to keep them.
	 * @return the numbers of the stages that have pieces and can be made now
	 */
	public List<Integer> startReady() {
		List<Integer> ready = new ArrayList<>();
		startAll(ready, false);
		startAll(ready, true);
		return ready;
	}

	private void startAll(List<Integer> ready, boolean held) {
		for (int i = 0; i < this.stages.size(); i++) {
			boolean inputsMade = this.stages.get(i).dependsOn().stream().allMatch(this::isComplete);
			if (!this.started[i] && inputsMade && held == canWait(i) && (!held || othersStarted(i))) {
				this.started[i] = true;
				if (this.handles[i].length > 0) {
					ready.add(i);
				}
			}
		}
	}

	private boolean canWait(int number) {
		return this.stages.get(number).resultBytes() >= LARGE_RESULT_BYTES && isFinal(number);
	}

	private boolean othersStarted(int number) {
		for (int i = 0; i < this.stages.size(); i++) {
			if (i != number && !this.started[i] && this.handles[i].length > 0 && !canWait(i)) {
				return false;
			}
		}
		return true;
	}

	private boolean isFinal(int number) {
		return this.stages.stream().noneMatch((stage) -> stage.dependsOn().contains(number));
	}

	/**
	 * Return how many pieces a stage has.
	 * @param stage its number
	 * @return the count
	 */
	public int pieceCount(int stage) {
		return this.handles[stage].length;
	}

	/**
	 * Return the size of all inputs of a stage's pieces.
	 * @param stage its number
	 * @return bytes that each piece reads
	 */
	public long inputBytes(int stage) {
		long sum = 0;
		for (int before : this.stages.get(stage).dependsOn()) {
			sum += this.handles[before].length * this.stages.get(before).resultBytes();
		}
		return sum;
	}

	/**
	 * Return whether other stages read a stage's results.
	 * @param stage its number
	 * @return false if only the request itself reads them
	 */
	public boolean hasReaders(int stage) {
		return !isFinal(stage);
	}

	/**
	 * Return how many stages follow a stage, one after the other.
	 * @param stage its number
	 * @return the length of the longest chain behind it that has pieces
	 */
	public int stagesAfter(int stage) {
		int longest = 0;
		for (int i = 0; i < this.stages.size(); i++) {
			if (this.stages.get(i).dependsOn().contains(stage) && this.handles[i].length > 0) {
				longest = Math.max(longest, 1 + stagesAfter(i));
			}
		}
		return longest;
	}

	/**
	 * Return how long all stages take, if those that need not wait for each other run at
	 * the same time.
	 * @param stageMs how long a stage takes, by its number, in milliseconds
	 * @return milliseconds; 0 where there are no pieces
	 */
	public long criticalPathMs(IntToLongFunction stageMs) {
		long longest = 0;
		for (int i = 0; i < this.stages.size(); i++) {
			longest = Math.max(longest, criticalPathMs(i, stageMs));
		}
		return longest;
	}

	private long criticalPathMs(int last, IntToLongFunction stageMs) {
		long before = 0;
		for (int input : this.stages.get(last).dependsOn()) {
			before = Math.max(before, criticalPathMs(input, stageMs));
		}
		return before + ((this.handles[last].length > 0) ? stageMs.applyAsLong(last) : 0);
	}

	/**
	 * Return the inputs of a stage's pieces.
	 * @param stage its number
	 * @return handles of all pieces of the stages before it; empty if there are none
	 */
	public List<String> inputs(int stage) {
		return handlesOf(this.stages.get(stage).dependsOn());
	}

	/**
	 * Take the result of a piece.
	 * @param stage the stage
	 * @param piece the piece
	 * @param handle names the result
	 */
	public void onCompleted(int stage, int piece, String handle) {
		this.handles[stage][piece] = handle;
		onInputsRead(stage, piece);
	}

	/**
	 * Take note that a piece's maker has read its inputs.
	 * @param stage the stage
	 * @param piece the piece
	 */
	public void onInputsRead(int stage, int piece) {
		this.read[stage][piece] = true;
	}

	private boolean isComplete(int stage) {
		return Arrays.stream(this.handles[stage]).allMatch((handle) -> handle != null);
	}

	/**
	 * Return whether all pieces are made.
	 * @return true if the request can run
	 */
	public boolean isComplete() {
		for (int i = 0; i < this.stages.size(); i++) {
			if (!isComplete(i)) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Return the results that the request itself reads.
	 * @return handles of all pieces of the stages that no other stage follows
	 */
	public List<String> finalHandles() {
		List<Integer> last = new ArrayList<>();
		for (int i = 0; i < this.stages.size(); i++) {
			if (isFinal(i)) {
				last.add(i);
			}
		}
		return handlesOf(last);
	}

	private List<String> handlesOf(List<Integer> numbers) {
		List<String> found = new ArrayList<>();
		for (int number : numbers) {
			for (String handle : this.handles[number]) {
				if (handle != null) {
					found.add(handle);
				}
			}
		}
		return found;
	}

	/**
	 * Take back the stages whose results no piece needs any more and that the request
	 * itself does not read.
	 * @return their numbers; each is returned once
	 */
	public List<Integer> takeReleasable() {
		List<Integer> fresh = new ArrayList<>();
		for (int i = 0; i < this.stages.size(); i++) {
			if (!this.spent[i] && isComplete(i) && followersRead(i)) {
				this.spent[i] = true;
				fresh.add(i);
			}
		}
		return fresh;
	}

	private boolean followersRead(int number) {
		boolean followed = false;
		for (int i = 0; i < this.stages.size(); i++) {
			if (this.stages.get(i).dependsOn().contains(number)) {
				followed = true;
				if (!read(i)) {
					return false;
				}
			}
		}
		return followed;
	}

	private boolean read(int stage) {
		for (boolean piece : this.read[stage]) {
			if (!piece) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Take back all stages that have not been taken back.
	 * @return their numbers
	 */
	public List<Integer> takeUnreleased() {
		List<Integer> rest = new ArrayList<>();
		for (int i = 0; i < this.stages.size(); i++) {
			if (!this.spent[i]) {
				this.spent[i] = true;
				rest.add(i);
			}
		}
		return rest;
	}

	/**
	 * Return the results of a stage that are there.
	 * @param stage its number
	 * @return the handles
	 */
	public List<String> results(int stage) {
		return handlesOf(List.of(stage));
	}

	/** Forget all results, so that every piece is made again. */
	public void reset() {
		Arrays.fill(this.started, false);
		Arrays.fill(this.spent, false);
		for (String[] stage : this.handles) {
			Arrays.fill(stage, null);
		}
		for (boolean[] stage : this.read) {
			Arrays.fill(stage, false);
		}
	}

}
