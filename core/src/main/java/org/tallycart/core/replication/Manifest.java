package org.tallycart.core.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import io.vavr.control.Either;

/**
 * The head of the configuration: a version, the parts that make it up by content digest,
 * and the latest changes.
 * <p>
 * Invariant: a manifest's version is one more than that of the manifest it replaced.
 * Immutable and thread-safe.
 *
 * @param version the version; 0 where nothing was ever accepted
 * @param parts digest of each part, by name
 * @param history the latest changes, newest first
 * @since 0.1
 */
public record Manifest(long version, SortedMap<String, String> parts, List<ManifestChange> history) {

	/** How many changes a manifest remembers. */
	public static final int HISTORY_LENGTH = 64;

	/** Nothing accepted yet. */
	public static final Manifest EMPTY = new Manifest(0, new TreeMap<>(), List.of());

	private static final String SEPARATOR = "\t";

	/**
	 * Return the manifest that follows this one.
	 * @param nextParts its parts
	 * @param changeId the change that makes it
	 * @param author who makes the change
	 * @param digest digest of {@link #encodeParts} of the new parts
	 * @param sections the declarations the change touches
	 * @return the next manifest
	 */
	public Manifest next(SortedMap<String, String> nextParts, String changeId, String author, String digest,
			List<String> sections) {
		List<ManifestChange> changes = new ArrayList<>();
		changes.add(new ManifestChange(this.version + 1, changeId, author, digest, sections));
		changes.addAll(this.history.subList(0, Math.min(this.history.size(), HISTORY_LENGTH - 1)));
		return new Manifest(this.version + 1, nextParts, changes);
	}

	/**
	 * Find a change in the history.
	 * @param changeId its id
	 * @return the change, or empty if it is not there
	 */
	public Optional<ManifestChange> find(String changeId) {
		return this.history.stream().filter((change) -> change.id().equals(changeId)).findFirst();
	}

	/**
	 * Find the latest change that touched a declaration.
	 * @param section the declaration
	 * @return the change, or empty if none in the history did
	 */
	public Optional<ManifestChange> findLatestChange(String section) {
		return this.history.stream().filter((change) -> change.sections().contains(section)).findFirst();
	}

	/**
	 * Write the parts as text, one a line.
	 * @param parts the parts
	 * @return the text
	 */
	public static String encodeParts(SortedMap<String, String> parts) {
		StringBuilder text = new StringBuilder();
		parts.forEach(
				(name, digest) -> text.append("part\t").append(name).append(SEPARATOR).append(digest).append('\n'));
		return text.toString();
	}

	/**
	 * Write the manifest as text.
	 * @return the text
	 */
	public String encode() {
		StringBuilder text = new StringBuilder("version\t").append(this.version).append('\n');
		text.append(encodeParts(this.parts));
		this.history.forEach((change) -> text.append(change.encode()).append('\n'));
		return text.toString();
	}

	/**
	 * Read a manifest, or the parts alone, written as text.
	 * @param text the text
	 * @return the manifest, or what is wrong with the text
	 */
	public static Either<String, Manifest> decode(String text) {
		long version = 0;
		SortedMap<String, String> parts = new TreeMap<>();
		List<ManifestChange> history = new ArrayList<>();
		try {
			for (String line : text.split("\n")) {
				String[] fields = line.split(SEPARATOR);
				switch (fields[0]) {
					case "version" -> {
						version = Long.parseLong(fields[1]);
					}
					case "part" -> parts.put(fields[1], fields[2]);
					case "change" -> history.add(ManifestChange.decode(fields));
					default -> {
						// A later release may add lines of its own.
					}
				}
			}
			return Either.right(new Manifest(version, parts, history));
		}
		catch (NumberFormatException | IndexOutOfBoundsException ex) {
			return Either.left("manifest is not readable: " + ex.getMessage());
		}
	}

}
