package org.tallycart.core.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import io.vavr.control.Either;

/**
 * The head of the configuration: a version, its parts by content digest, and the latest
 * changes.
 * <p>
 * Invariant: the version of a manifest is one higher than that of the manifest that it
 * replaced. Immutable and thread-safe.
 *
 * @param version version of the configuration; 0 if nothing has been accepted yet
 * @param parts digests of the parts, by name
 * @param history latest changes, newest first
 * @since 0.1
 */
public record Manifest(long version, SortedMap<String, String> parts, List<ManifestChange> history) {

	/** Maximum number of changes in the history. */
	public static final int HISTORY_LENGTH = 64;

	/** The manifest before any change has been accepted. */
	public static final Manifest EMPTY = new Manifest(0, new TreeMap<>(), List.of());

	private static final String SEPARATOR = "\t";

	/**
	 * Create the next manifest.
	 * @param nextParts the parts of the next manifest
	 * @param changeId the id of the change
	 * @param author the author of the change
	 * @param digest the digest of the new parts as encoded by {@link #encodeParts}
	 * @param sections the declarations that the change modifies
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
	 * @param changeId the id of the change
	 * @return the change, or empty if it is not in the history
	 */
	public Optional<ManifestChange> find(String changeId) {
		return this.history.stream().filter((change) -> change.id().equals(changeId)).findFirst();
	}

	/**
	 * Find the latest change that modified a declaration.
	 * @param section the declaration
	 * @return the change, or empty if there is none in the history
	 */
	public Optional<ManifestChange> findLatestChange(String section) {
		return this.history.stream().filter((change) -> change.sections().contains(section)).findFirst();
	}

	/**
	 * Encode the parts as text, one per line.
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
	 * Encode the manifest as text.
	 * @return the text
	 */
	public String encode() {
		StringBuilder text = new StringBuilder("version\t").append(this.version).append('\n');
		text.append(encodeParts(this.parts));
		this.history.forEach((change) -> text.append(change.encode()).append('\n'));
		return text.toString();
	}

	/**
	 * Decode a manifest, or its parts alone.
	 * @param text the text
	 * @return the manifest, or an error message
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
						// Ignored, because a later release may add other kinds of lines.
					}
				}
			}
			return Either.right(new Manifest(version, parts, history));
		}
		catch (NumberFormatException | IndexOutOfBoundsException ex) {
			return Either.left("cannot parse the manifest: " + ex.getMessage());
		}
	}

}
