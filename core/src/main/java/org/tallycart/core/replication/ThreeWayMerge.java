package org.tallycart.core.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;

import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;

/**
 * Merges an author's declarations with those in force, against the version that the
 * author began from.
 * <p>
 * Invariant: a declaration that the author did not change keeps the text in force, so
 * that an old checkout never reverts another operator's change. Thread-safe: holds no
 * state.
 *
 * @since 0.1
 */
public final class ThreeWayMerge {

	private ThreeWayMerge() {
	}

	/**
	 * Merge three sets of declarations, each a text by section name.
	 * @param base what the author began from
	 * @param mine what the author wants
	 * @param theirs what is in force
	 * @return the merged set, or the conflicts
	 */
	public static Either<List<MergeConflict>, SortedMap<String, String>> merge(Map<String, String> base,
			Map<String, String> mine, Map<String, String> theirs) {
		SortedMap<String, String> merged = new TreeMap<>();
		List<MergeConflict> conflicts = new ArrayList<>();
		TreeSet<String> names = new TreeSet<>(base.keySet());
		names.addAll(mine.keySet());
		names.addAll(theirs.keySet());
		for (String name : names) {
			String ours = mine.get(name);
			String other = theirs.get(name);
			boolean mineChanged = !Objects.equals(ours, base.get(name));
			boolean theirsChanged = !Objects.equals(other, base.get(name));
			if (mineChanged && theirsChanged && !Objects.equals(ours, other)) {
				conflicts.add(new MergeConflict(name, orEmpty(ours), orEmpty(other)));
				continue;
			}
			String winner = mineChanged ? ours : other;
			if (winner != null) {
				merged.put(name, winner);
			}
		}
		return conflicts.isEmpty() ? Either.right(merged) : Either.left(conflicts);
	}

	private static String orEmpty(@Nullable String text) {
		return (text != null) ? text : "";
	}

	/**
	 * Name the declarations that differ between two sets.
	 * @param before one set
	 * @param after the other
	 * @return the names, sorted
	 */
	public static List<String> changedNames(Map<String, String> before, Map<String, String> after) {
		TreeSet<String> names = new TreeSet<>(before.keySet());
		names.addAll(after.keySet());
		names.removeIf((name) -> Objects.equals(before.get(name), after.get(name)));
		return List.copyOf(names);
	}

}
