package org.tallycart.ctl;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import io.vavr.control.Either;
import org.tallycart.core.ini.IniParser;
import org.tallycart.core.ini.IniSection;
import org.tallycart.core.ini.Problem;
import org.tallycart.core.replication.Digest;
import org.tallycart.core.replication.Manifest;
import org.tallycart.core.replication.ManifestChange;
import org.tallycart.core.replication.ManifestParts;
import org.tallycart.core.replication.MergeConflict;
import org.tallycart.core.replication.ThreeWayMerge;
import org.tallycart.platform.ObjectStore;
import org.tallycart.platform.PlatformError;
import org.tallycart.platform.StoredValue;
import org.tallycart.platform.WriteResult;

/**
 * Reads the configuration from the platform's service, and updates it by a three-way
 * merge and a conditional write of its head.
 * <p>
 * Invariant: a change is reported as accepted only if its write was applied or its id is
 * in the head's history; it is applied again only if the head has a newer version without
 * it. Not thread-safe.
 *
 * @since 0.1
 */
final class ConfigStore {

	private static final String HEAD = "config";

	private static final String BLOB_PREFIX = "blob-";

	private static final int MAX_ATTEMPTS = 20;

	private static final long RETRY_DELAY_MS = 200;

	private final ObjectStore store;

	ConfigStore(ObjectStore store) {
		this.store = store;
	}

	Either<PlatformError, ConfigHead> readHead() {
		Either<PlatformError, Optional<StoredValue>> value = this.store.read(HEAD);
		if (value.isLeft()) {
			return Either.left(value.getLeft());
		}
		if (value.get().isEmpty()) {
			return Either.right(new ConfigHead(0, Manifest.EMPTY));
		}
		StoredValue stored = value.get().get();
		return Manifest.decode(new String(stored.bytes(), StandardCharsets.UTF_8))
			.map((manifest) -> new ConfigHead(stored.version(), manifest))
			.mapLeft(PlatformError::new);
	}

	Either<PlatformError, SortedMap<String, String>> readSections(SortedMap<String, String> parts) {
		SortedMap<String, String> texts = new TreeMap<>();
		for (Map.Entry<String, String> part : parts.entrySet()) {
			Either<PlatformError, String> text = readBlob(part.getValue());
			if (text.isLeft()) {
				return Either.left(text.getLeft());
			}
			List<Problem> problems = new ArrayList<>();
			for (IniSection section : IniParser.read(part.getKey(), text.get(), problems)) {
				texts.put(section.name(), section.canonical());
			}
		}
		return Either.right(texts);
	}

	private Either<PlatformError, String> readBlob(String digest) {
		return this.store.read(BLOB_PREFIX + digest)
			.flatMap((value) -> value
				.<Either<PlatformError, String>>map(
						(stored) -> Either.right(new String(stored.bytes(), StandardCharsets.UTF_8)))
				.orElseGet(() -> Either.left(new PlatformError("part " + digest + " does not exist"))));
	}

	/**
	 * Return the declarations of a version that is in the head's history.
	 * @param head the head
	 * @param version the version; 0 has no declarations
	 * @return canonical texts by section name, or the error
	 */
	Either<PlatformError, SortedMap<String, String>> readVersion(ConfigHead head, long version) {
		if (version == 0) {
			return Either.right(new TreeMap<>());
		}
		if (version == head.manifest().version()) {
			return readSections(head.manifest().parts());
		}
		Optional<ManifestChange> change = head.manifest()
			.history()
			.stream()
			.filter((entry) -> entry.version() == version)
			.findFirst();
		if (change.isEmpty()) {
			return Either
				.left(new PlatformError("version " + version + " is not among the last " + Manifest.HISTORY_LENGTH
						+ " changes; fetch the current declarations and pass their version as --base"));
		}
		return readBlob(change.get().manifest()).flatMap((text) -> Manifest.decode(text).mapLeft(PlatformError::new))
			.flatMap((manifest) -> readSections(manifest.parts()));
	}

	/**
	 * Apply an author's declarations.
	 * @param mine the author's declarations, as canonical texts by section name
	 * @param baseVersion the version that the author's declarations are based on
	 * @param changeId the id of the change
	 * @param author the author's name
	 * @return the result
	 */
	ApplyResult apply(SortedMap<String, String> mine, long baseVersion, String changeId, String author) {
		for (int i = 0; i < MAX_ATTEMPTS; i++) {
			Either<PlatformError, ConfigHead> head = readHead();
			if (head.isLeft()) {
				return notApplied(head.getLeft());
			}
			Either<ApplyResult, SortedMap<String, String>> merged = merge(head.get(), mine, baseVersion);
			if (merged.isLeft()) {
				return merged.getLeft();
			}
			Optional<ApplyResult> result = writeChange(head.get(), merged.get(), changeId, author);
			if (result.isPresent()) {
				return result.get();
			}
		}
		return new ApplyResult(ApplyResult.Status.NOT_APPLIED, 0,
				List.of("gave up after " + MAX_ATTEMPTS + " attempts, each overtaken by another change"));
	}

	private Either<ApplyResult, SortedMap<String, String>> merge(ConfigHead head, SortedMap<String, String> mine,
			long baseVersion) {
		Either<PlatformError, SortedMap<String, String>> theirs = readSections(head.manifest().parts());
		Either<PlatformError, SortedMap<String, String>> base = readVersion(head, baseVersion);
		if (theirs.isLeft() || base.isLeft()) {
			return Either.left(notApplied(theirs.isLeft() ? theirs.getLeft() : base.getLeft()));
		}
		Either<List<MergeConflict>, SortedMap<String, String>> merged = ThreeWayMerge.merge(base.get(), mine,
				theirs.get());
		if (merged.isLeft()) {
			List<String> lines = merged.getLeft()
				.stream()
				.map((conflict) -> describe(conflict, head.manifest()))
				.toList();
			return Either.left(new ApplyResult(ApplyResult.Status.CONFLICT, head.manifest().version(), lines));
		}
		if (merged.get().equals(theirs.get())) {
			return Either.left(new ApplyResult(ApplyResult.Status.UNCHANGED, head.manifest().version(),
					List.of("nothing to change at version " + head.manifest().version())));
		}
		List<Problem> problems = DeclarationDirectory.check(merged.get());
		if (!problems.isEmpty()) {
			return Either.left(new ApplyResult(ApplyResult.Status.REFUSED, head.manifest().version(),
					problems.stream().map(Problem::toString).toList()));
		}
		return Either.right(merged.get());
	}

	private static String describe(MergeConflict conflict, Manifest manifest) {
		String other = manifest.findLatestChange(conflict.section())
			.map((change) -> "change " + change.id() + " by " + change.author() + " made version " + change.version())
			.orElse("an earlier change");
		return "[" + conflict.section() + "] is changed here and by " + other;
	}

	private Optional<ApplyResult> writeChange(ConfigHead head, SortedMap<String, String> texts, String changeId,
			String author) {
		Either<PlatformError, SortedMap<String, String>> before = readSections(head.manifest().parts());
		if (before.isLeft()) {
			return Optional.of(notApplied(before.getLeft()));
		}
		List<String> changed = ThreeWayMerge.changedNames(before.get(), texts);
		Either<PlatformError, SortedMap<String, String>> parts = writeParts(texts, head.manifest().parts());
		if (parts.isLeft()) {
			return Optional.of(notApplied(parts.getLeft()));
		}
		String partsText = Manifest.encodeParts(parts.get());
		Either<PlatformError, String> digest = writeBlob(partsText);
		if (digest.isLeft()) {
			return Optional.of(notApplied(digest.getLeft()));
		}
		Manifest next = head.manifest().next(parts.get(), changeId, author, digest.get(), changed);
		return writeHead(head, next, changeId, changed);
	}

	private Optional<ApplyResult> writeHead(ConfigHead head, Manifest next, String changeId, List<String> changed) {
		byte[] value = next.encode().getBytes(StandardCharsets.UTF_8);
		boolean effectUnknown = false;
		for (int i = 0; i < MAX_ATTEMPTS; i++) {
			WriteResult result = this.store.write(HEAD, value, head.objectVersion());
			if (result.status() == WriteResult.Status.APPLIED) {
				return Optional.of(accepted(next.version(), changed));
			}
			if (result.status() == WriteResult.Status.CONFLICT) {
				// The head has a newer version, so no attempt of this write can still
				// take effect.
				return findChange(changeId, changed);
			}
			if (result.status() == WriteResult.Status.NOT_APPLIED && !effectUnknown) {
				return Optional.of(new ApplyResult(ApplyResult.Status.NOT_APPLIED, 0, List.of(result.message())));
			}
			// A retry is safe: the write names the expected version, so it takes effect
			// at most once.
			effectUnknown = true;
			sleepBeforeRetry();
		}
		return Optional.of(new ApplyResult(ApplyResult.Status.OUTCOME_UNKNOWN, 0, List
			.of("the platform's service does not answer; to know, run: tallyctl history --change " + changeId)));
	}

	private Optional<ApplyResult> findChange(String changeId, List<String> changed) {
		for (int i = 0; i < MAX_ATTEMPTS; i++) {
			Either<PlatformError, ConfigHead> head = readHead();
			if (head.isRight()) {
				return head.get().manifest().find(changeId).map((change) -> accepted(change.version(), changed));
			}
			sleepBeforeRetry();
		}
		return Optional.of(new ApplyResult(ApplyResult.Status.OUTCOME_UNKNOWN, 0, List
			.of("the platform's service does not answer; to know, run: tallyctl history --change " + changeId)));
	}

	private static ApplyResult accepted(long version, List<String> changed) {
		List<String> lines = new ArrayList<>();
		lines.add("accepted as version " + version);
		changed.forEach((section) -> lines.add("  changed [" + section + "]"));
		return new ApplyResult(ApplyResult.Status.ACCEPTED, version, lines);
	}

	private Either<PlatformError, SortedMap<String, String>> writeParts(SortedMap<String, String> texts,
			SortedMap<String, String> existing) {
		SortedMap<String, StringBuilder> contents = new TreeMap<>();
		texts
			.forEach((name, text) -> contents.computeIfAbsent(ManifestParts.partOf(name), (part) -> new StringBuilder())
				.append(text)
				.append('\n'));
		SortedMap<String, String> parts = new TreeMap<>();
		for (Map.Entry<String, StringBuilder> content : contents.entrySet()) {
			String text = content.getValue().toString();
			String digest = Digest.of(text);
			if (!digest.equals(existing.get(content.getKey()))) {
				Either<PlatformError, String> written = writeBlob(text);
				if (written.isLeft()) {
					return Either.left(written.getLeft());
				}
			}
			parts.put(content.getKey(), digest);
		}
		return Either.right(parts);
	}

	private Either<PlatformError, String> writeBlob(String text) {
		String digest = Digest.of(text);
		WriteResult result = this.store.write(BLOB_PREFIX + digest, text.getBytes(StandardCharsets.UTF_8), 0);
		boolean stored = result.status() == WriteResult.Status.APPLIED
				|| result.status() == WriteResult.Status.CONFLICT;
		if (!stored) {
			// The digest names the content, so reading it back shows whether it is
			// stored.
			stored = readBlob(digest).filter(text::equals).isDefined();
		}
		return stored ? Either.right(digest) : Either.left(new PlatformError(result.message()));
	}

	private static ApplyResult notApplied(PlatformError error) {
		return new ApplyResult(ApplyResult.Status.NOT_APPLIED, 0,
				List.of("nothing was changed; the platform's service: " + error.message()));
	}

	private static void sleepBeforeRetry() {
		try {
			Thread.sleep(RETRY_DELAY_MS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
