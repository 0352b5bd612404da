package org.tallycart.core.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Stream;

/**
 * Rendezvous (highest random weight) hashing: all processes with the same candidates rank
 * them identically for a given subject, and adding or removing a candidate moves only the
 * subjects that rank it first.
 * <p>
 * Thread-safe: holds no state.
 *
 * @since 0.1
 */
public final class RendezvousHash {

	private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

	private static final long MIX_1 = 0xBF58476D1CE4E5B9L;

	private static final long MIX_2 = 0x94D049BB133111EBL;

	private static final HashedName NO_NAME = new HashedName("", 0);

	private RendezvousHash() {
	}

	/**
	 * Return the highest-ranked candidate.
	 * @param subject the subject
	 * @param candidates the candidates
	 * @return the highest-ranked candidate, or empty if there are no candidates
	 */
	public static Optional<String> first(String subject, Collection<String> candidates) {
		return ranked(subject, candidates).max(Ranked.ORDER).map(Ranked::name);
	}

	/**
	 * Return the highest-ranked candidate, using the hashed names of the candidates. Only
	 * the subject is hashed; each candidate costs one mixing step.
	 * @param <T> the type of the candidates
	 * @param subject the subject
	 * @param candidates the candidates
	 * @param name returns the hashed name of a candidate
	 * @return the highest-ranked candidate, or empty if there are no candidates
	 */
	public static <T> Optional<T> first(String subject, Collection<T> candidates, Function<T, HashedName> name) {
		long seed = seed(subject);
		T first = null;
		HashedName firstName = NO_NAME;
		long firstWeight = Long.MIN_VALUE;
		for (T candidate : candidates) {
			HashedName candidateName = name.apply(candidate);
			long weight = weight(seed, candidateName.hash());
			boolean tieBreak = weight == firstWeight && candidateName.name().compareTo(firstName.name()) > 0;
			if (first == null || weight > firstWeight || tieBreak) {
				first = candidate;
				firstName = candidateName;
				firstWeight = weight;
			}
		}
		return Optional.ofNullable(first);
	}

	/**
	 * Return the seed of a subject, for {@link #weight}.
	 * @param subject the subject
	 * @return the seed
	 */
	public static long seed(String subject) {
		return hash(subject);
	}

	/**
	 * Return the weight of a candidate for a subject. The candidate with the greatest
	 * weight ranks first; of equal weights the greater name.
	 * @param seed the seed of the subject
	 * @param nameHash the hash of the candidate's name; see {@link HashedName#hash}
	 * @return the weight
	 */
	public static long weight(long seed, long nameHash) {
		return mix(seed ^ nameHash);
	}

	/**
	 * Return the highest-ranked candidates.
	 * @param subject the subject
	 * @param candidates the candidates
	 * @param count the maximum number of candidates
	 * @return up to {@code count} candidates, the highest-ranked first
	 */
	public static List<String> top(String subject, Collection<String> candidates, int count) {
		return ranked(subject, candidates).sorted(Ranked.ORDER.reversed()).limit(count).map(Ranked::name).toList();
	}

	// Hashes each candidate once, not at each comparison.
	private static Stream<Ranked> ranked(String subject, Collection<String> candidates) {
		long seed = hash(subject);
		return candidates.stream().map((candidate) -> new Ranked(candidate, mix(seed ^ hash(candidate))));
	}

	static long hash(String text) {
		long hash = GOLDEN_GAMMA;
		for (int i = 0; i < text.length(); i++) {
			hash = mix(hash + text.charAt(i));
		}
		return hash;
	}

	private static long mix(long value) {
		long z = value + GOLDEN_GAMMA;
		z = (z ^ (z >>> 30)) * MIX_1;
		z = (z ^ (z >>> 27)) * MIX_2;
		return z ^ (z >>> 31);
	}

	/**
	 * A candidate with its weight for a subject.
	 *
	 * @param name the candidate
	 * @param weight its weight
	 */
	private record Ranked(String name, long weight) {

		private static final Comparator<Ranked> ORDER = Comparator.comparingLong(Ranked::weight)
			.thenComparing(Ranked::name);

	}

}
