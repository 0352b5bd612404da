package org.tallycart.core.pool;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.IntToLongFunction;

import org.jspecify.annotations.Nullable;
import org.tallycart.core.serving.StageSpec;

/**
 * Tracks the completed pieces of a request's stages and which stages can start next. The
 * stages form a directed acyclic graph.
 * <p>
 * Invariants: a stage is started once, when all pieces of the stages it depends on are
 * completed; its pieces receive all of their results, in order of stage and piece, and no
 * others. Not thread-safe: belongs to one request.
 *
 * @since 0.1
 */
public final class StagePlan {

	/** Size from which a few results fill a worker's result memory, in bytes. */
	private static final long LARGE_RESULT_BYTES = 500_000;

	private final List<StageSpec> stages;

	private final @Nullable String[][] handles;

	private final boolean[][] inputsRead;

	private final boolean[] started;

	private final boolean[] released;

	/**
	 * Create a plan.
	 * @param stages the stages of the route
	 * @param counts the number of pieces of each stage; 0 for stages beyond the end of
	 * the list
	 */
	public StagePlan(List<StageSpec> stages, List<Integer> counts) {
		this.stages = stages;
		this.handles = new String[stages.size()][];
		this.inputsRead = new boolean[stages.size()][];
		this.started = new boolean[stages.size()];
		this.released = new boolean[stages.size()];
		for (int i = 0; i < stages.size(); i++) {
			this.handles[i] = new String[(i < counts.size()) ? Math.max(counts.get(i), 0) : 0];
			this.inputsRead[i] = new boolean[this.handles[i].length];
		}
	}

	/**
	 * Start the stages whose dependencies are completed. Stages with large results that
	 * only the request itself reads are started last, since workers have little result
	 * memory to store them.
	 * @return the indexes of the started stages that have pieces
	 */
	public List<Integer> startReady() {
		List<Integer> ready = new ArrayList<>();
		startStages(ready, false);
		startStages(ready, true);
		return ready;
	}

	private void startStages(List<Integer> ready, boolean deferrable) {
		for (int i = 0; i < this.stages.size(); i++) {
			boolean dependenciesCompleted = this.stages.get(i).dependsOn().stream().allMatch(this::isComplete);
			if (!this.started[i] && dependenciesCompleted && deferrable == isDeferrable(i)
					&& (!deferrable || areOthersStarted(i))) {
				this.started[i] = true;
				if (this.handles[i].length > 0) {
					ready.add(i);
				}
			}
		}
	}

	private boolean isDeferrable(int stage) {
		return this.stages.get(stage).resultBytes() >= LARGE_RESULT_BYTES && isFinal(stage);
	}

	private boolean areOthersStarted(int stage) {
		for (int i = 0; i < this.stages.size(); i++) {
			if (i != stage && !this.started[i] && this.handles[i].length > 0 && !isDeferrable(i)) {
				return false;
			}
		}
		return true;
	}

	private boolean isFinal(int stage) {
		return this.stages.stream().noneMatch((other) -> other.dependsOn().contains(stage));
	}

	/**
	 * Return the number of pieces of a stage.
	 * @param stage the index of the stage
	 * @return the number of pieces
	 */
	public int pieceCount(int stage) {
		return this.handles[stage].length;
	}

	/**
	 * Return the size of the inputs of a stage.
	 * @param stage the index of the stage
	 * @return bytes that each piece of the stage reads
	 */
	public long inputBytes(int stage) {
		long sum = 0;
		for (int dependency : this.stages.get(stage).dependsOn()) {
			sum += this.handles[dependency].length * this.stages.get(dependency).resultBytes();
		}
		return sum;
	}

	/**
	 * Return whether other stages depend on a stage.
	 * @param stage the index of the stage
	 * @return false if only the request itself reads the results
	 */
	public boolean hasReaders(int stage) {
		return !isFinal(stage);
	}

	/**
	 * Return the length of the longest chain of stages after a stage.
	 * @param stage the index of the stage
	 * @return the number of stages in the chain; it ends at a stage without pieces
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
	 * Return the duration of the longest chain of stages after a stage.
	 * @param stage the index of the stage
	 * @param stageMs the duration of a stage by its index, in milliseconds
	 * @return milliseconds; the chain ends at a stage without pieces
	 */
	public long longestPathAfterMs(int stage, IntToLongFunction stageMs) {
		long longest = 0;
		for (int i = 0; i < this.stages.size(); i++) {
			if (this.stages.get(i).dependsOn().contains(stage) && this.handles[i].length > 0) {
				longest = Math.max(longest, stageMs.applyAsLong(i) + longestPathAfterMs(i, stageMs));
			}
		}
		return longest;
	}

	/**
	 * Return the duration of the critical path through the stages.
	 * @param stageMs the duration of a stage by its index, in milliseconds
	 * @return milliseconds; 0 if there are no pieces
	 */
	public long criticalPathMs(IntToLongFunction stageMs) {
		long longest = 0;
		for (int i = 0; i < this.stages.size(); i++) {
			longest = Math.max(longest, criticalPathMs(i, stageMs));
		}
		return longest;
	}

	private long criticalPathMs(int stage, IntToLongFunction stageMs) {
		long dependenciesMs = 0;
		for (int dependency : this.stages.get(stage).dependsOn()) {
			dependenciesMs = Math.max(dependenciesMs, criticalPathMs(dependency, stageMs));
		}
		return dependenciesMs + ((this.handles[stage].length > 0) ? stageMs.applyAsLong(stage) : 0);
	}

	/**
	 * Return the inputs of a stage.
	 * @param stage the index of the stage
	 * @return handles of the results of the stages it depends on; empty if there are none
	 */
	public List<String> inputs(int stage) {
		return handlesOf(this.stages.get(stage).dependsOn());
	}

	/**
	 * Record the result of a piece.
	 * @param stage the index of the stage
	 * @param piece the index of the piece within the stage
	 * @param handle identifies the result
	 */
	public void onCompleted(int stage, int piece, String handle) {
		this.handles[stage][piece] = handle;
		onInputsRead(stage, piece);
	}

	/**
	 * Record that a piece's worker has read its inputs.
	 * @param stage the index of the stage
	 * @param piece the index of the piece within the stage
	 */
	public void onInputsRead(int stage, int piece) {
		this.inputsRead[stage][piece] = true;
	}

	private boolean isComplete(int stage) {
		return Arrays.stream(this.handles[stage]).allMatch((handle) -> handle != null);
	}

	/**
	 * Return whether all pieces are completed.
	 * @return true if the request can be executed
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
	 * @return handles of the results of the stages that no other stage depends on
	 */
	public List<String> finalHandles() {
		List<Integer> finalStages = new ArrayList<>();
		for (int i = 0; i < this.stages.size(); i++) {
			if (isFinal(i)) {
				finalStages.add(i);
			}
		}
		return handlesOf(finalStages);
	}

	private List<String> handlesOf(List<Integer> indexes) {
		List<String> found = new ArrayList<>();
		for (int stage : indexes) {
			for (String handle : this.handles[stage]) {
				if (handle != null) {
					found.add(handle);
				}
			}
		}
		return found;
	}

	/**
	 * Return and mark as released the stages whose results are read by all dependent
	 * pieces and not by the request itself.
	 * @return the indexes of the stages; each is returned once
	 */
	public List<Integer> takeReleasable() {
		List<Integer> releasable = new ArrayList<>();
		for (int i = 0; i < this.stages.size(); i++) {
			if (!this.released[i] && isComplete(i) && dependentsRead(i)) {
				this.released[i] = true;
				releasable.add(i);
			}
		}
		return releasable;
	}

	private boolean dependentsRead(int stage) {
		boolean hasDependents = false;
		for (int i = 0; i < this.stages.size(); i++) {
			if (this.stages.get(i).dependsOn().contains(stage)) {
				hasDependents = true;
				if (!areInputsRead(i)) {
					return false;
				}
			}
		}
		return hasDependents;
	}

	private boolean areInputsRead(int stage) {
		for (boolean piece : this.inputsRead[stage]) {
			if (!piece) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Return and mark as released all stages that are not released yet.
	 * @return the indexes of the stages
	 */
	public List<Integer> takeUnreleased() {
		List<Integer> unreleased = new ArrayList<>();
		for (int i = 0; i < this.stages.size(); i++) {
			if (!this.released[i]) {
				this.released[i] = true;
				unreleased.add(i);
			}
		}
		return unreleased;
	}

	/**
	 * Return the available results of a stage.
	 * @param stage the index of the stage
	 * @return the handles of its completed pieces
	 */
	public List<String> results(int stage) {
		return handlesOf(List.of(stage));
	}

	/** Discard all results, so that every piece is processed again. */
	public void reset() {
		Arrays.fill(this.started, false);
		Arrays.fill(this.released, false);
		for (String[] stage : this.handles) {
			Arrays.fill(stage, null);
		}
		for (boolean[] stage : this.inputsRead) {
			Arrays.fill(stage, false);
		}
	}

}
