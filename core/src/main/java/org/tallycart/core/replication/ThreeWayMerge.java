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
 * Merges the declarations of an author with those of the active configuration, relative
 * to the version that the author started from.
 * <p>
 * Invariant: a declaration that the author did not change keeps its active text, so that
 * an old checkout never reverts the change of another operator. Thread-safe: holds no
 * state.
 *
 * @since 0.1
 */
public final class ThreeWayMerge {

	private ThreeWayMerge() {
	}

	/**
	 * Merge three sets of declarations, each with texts by section name.
	 * @param base the version that the author started from
	 * @param mine the version of the author
	 * @param theirs the active version
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
			String mineText = mine.get(name);
			String theirsText = theirs.get(name);
			boolean mineChanged = !Objects.equals(mineText, base.get(name));
			boolean theirsChanged = !Objects.equals(theirsText, base.get(name));
			if (mineChanged && theirsChanged && !Objects.equals(mineText, theirsText)) {
				conflicts.add(new MergeConflict(name, orEmpty(mineText), orEmpty(theirsText)));
				continue;
			}
			String mergedText = mineChanged ? mineText : theirsText;
			if (mergedText != null) {
				merged.put(name, mergedText);
			}
		}
		return conflicts.isEmpty() ? Either.right(merged) : Either.left(conflicts);
	}

	private static String orEmpty(@Nullable String text) {
		return (text != null) ? text : "";
	}

	/**
	 * Return the names of the declarations that differ between two sets.
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
