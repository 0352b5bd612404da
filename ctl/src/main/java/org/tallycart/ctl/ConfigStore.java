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
 * The configuration in the platform's service: read, merged and moved by conditional
 * update.
 * <p>
 * Invariant: a change is told as accepted only if its id stands in the head's history,
 * and as not accepted only if the head has moved on without it. Not thread-safe.
 *
 * @since 0.1
 */
final class ConfigStore {

	private static final String HEAD = "config";

	private static final String BLOB_PREFIX = "blob-";

	private static final int MAX_TRIES = 20;

	private static final long PAUSE_MS = 200;

	private final ObjectStore store;

	ConfigStore(ObjectStore store) {
		this.store = store;
	}

	Either<PlatformError, ConfigHead> head() {
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

	Either<PlatformError, SortedMap<String, String>> sections(SortedMap<String, String> parts) {
		SortedMap<String, String> texts = new TreeMap<>();
		for (Map.Entry<String, String> part : parts.entrySet()) {
			Either<PlatformError, String> text = blob(part.getValue());
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

	private Either<PlatformError, String> blob(String digest) {
		return this.store.read(BLOB_PREFIX + digest)
			.flatMap((value) -> value
				.<Either<PlatformError, String>>map(
						(stored) -> Either.right(new String(stored.bytes(), StandardCharsets.UTF_8)))
				.orElseGet(() -> Either.left(new PlatformError("part " + digest + " is not there"))));
	}

	/**
	 * Return the declarations of an earlier version that the history still knows.
	 * @param head the head
	 * @param version the version
	 * @return the declarations, or why they cannot be had
	 */
	Either<PlatformError, SortedMap<String, String>> sectionsOf(ConfigHead head, long version) {
		if (version == 0) {
			return Either.right(new TreeMap<>());
		}
		if (version == head.manifest().version()) {
			return sections(head.manifest().parts());
		}
		Optional<ManifestChange> change = head.manifest()
			.history()
			.stream()
			.filter((known) -> known.version() == version)
			.findFirst();
		if (change.isEmpty()) {
			return Either.left(new PlatformError("version " + version + " is not among the last "
					+ Manifest.HISTORY_LENGTH + " changes; check out afresh and name a later --base"));
		}
		return blob(change.get().manifest()).flatMap((text) -> Manifest.decode(text).mapLeft(PlatformError::new))
			.flatMap((manifest) -> sections(manifest.parts()));
	}

	/**
	 * Apply an author's declarations.
	 * @param mine what the author wants
	 * @param baseVersion the version the author began from
	 * @param changeId names the change
	 * @param author who makes it
	 * @return what became of it
	 */
	ApplyResult apply(SortedMap<String, String> mine, long baseVersion, String changeId, String author) {
		for (int i = 0; i < MAX_TRIES; i++) {
			Either<PlatformError, ConfigHead> head = head();
			if (head.isLeft()) {
				return failed(head.getLeft());
			}
			Either<ApplyResult, SortedMap<String, String>> merged = merge(head.get(), mine, baseVersion);
			if (merged.isLeft()) {
				return merged.getLeft();
			}
			Optional<ApplyResult> result = move(head.get(), merged.get(), changeId, author);
			if (result.isPresent()) {
				return result.get();
			}
		}
		return new ApplyResult(ApplyResult.Status.NOT_APPLIED, 0,
				List.of("other changes came first " + MAX_TRIES + " times"));
	}

	private Either<ApplyResult, SortedMap<String, String>> merge(ConfigHead head, SortedMap<String, String> mine,
			long baseVersion) {
		Either<PlatformError, SortedMap<String, String>> theirs = sections(head.manifest().parts());
		Either<PlatformError, SortedMap<String, String>> base = sectionsOf(head, baseVersion);
		if (theirs.isLeft() || base.isLeft()) {
			return Either.left(failed(theirs.isLeft() ? theirs.getLeft() : base.getLeft()));
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

	private Optional<ApplyResult> move(ConfigHead head, SortedMap<String, String> texts, String changeId,
			String author) {
		Either<PlatformError, SortedMap<String, String>> before = sections(head.manifest().parts());
		if (before.isLeft()) {
			return Optional.of(failed(before.getLeft()));
		}
		List<String> changed = ThreeWayMerge.changedNames(before.get(), texts);
		Either<PlatformError, SortedMap<String, String>> parts = writeParts(texts, head.manifest().parts());
		if (parts.isLeft()) {
			return Optional.of(failed(parts.getLeft()));
		}
		String partsText = Manifest.encodeParts(parts.get());
		Either<PlatformError, String> digest = writeBlob(partsText);
		if (digest.isLeft()) {
			return Optional.of(failed(digest.getLeft()));
		}
		Manifest next = head.manifest().next(parts.get(), changeId, author, digest.get(), changed);
		return settle(head, next, changeId, changed);
	}

	private Optional<ApplyResult> settle(ConfigHead head, Manifest next, String changeId, List<String> changed) {
		byte[] value = next.encode().getBytes(StandardCharsets.UTF_8);
		boolean unsure = false;
		for (int i = 0; i < MAX_TRIES; i++) {
			WriteResult result = this.store.write(HEAD, value, head.objectVersion());
			if (result.status() == WriteResult.Status.APPLIED) {
				return Optional.of(accepted(next.version(), changed));
			}
			if (result.status() == WriteResult.Status.CONFLICT) {
				// The head has moved on, so no try of this write can still take effect.
				return lookUp(changeId, changed);
			}
			if (result.status() == WriteResult.Status.NOT_APPLIED && !unsure) {
				return Optional.of(new ApplyResult(ApplyResult.Status.NOT_APPLIED, 0, List.of(result.message())));
			}
			// The same write again: it takes effect at most once, since it names the
			// version.
			unsure = true;
			pause();
		}
		return Optional.of(new ApplyResult(ApplyResult.Status.OUTCOME_UNKNOWN, 0, List
			.of("the platform's service does not answer; to know, run: tallyctl history --change " + changeId)));
	}

	private Optional<ApplyResult> lookUp(String changeId, List<String> changed) {
		for (int i = 0; i < MAX_TRIES; i++) {
			Either<PlatformError, ConfigHead> head = head();
			if (head.isRight()) {
				return head.get().manifest().find(changeId).map((change) -> accepted(change.version(), changed));
			}
			pause();
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
			SortedMap<String, String> present) {
		SortedMap<String, StringBuilder> contents = new TreeMap<>();
		texts
			.forEach((name, text) -> contents.computeIfAbsent(ManifestParts.partOf(name), (part) -> new StringBuilder())
				.append(text)
				.append('\n'));
		SortedMap<String, String> parts = new TreeMap<>();
		for (Map.Entry<String, StringBuilder> content : contents.entrySet()) {
			String text = content.getValue().toString();
			String digest = Digest.of(text);
			if (!digest.equals(present.get(content.getKey()))) {
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
		boolean there = result.status() == WriteResult.Status.APPLIED || result.status() == WriteResult.Status.CONFLICT;
		if (!there) {
			// A content is named by its digest: reading it back tells whether it is
			// there.
			there = blob(digest).filter(text::equals).isDefined();
		}
		return there ? Either.right(digest) : Either.left(new PlatformError(result.message()));
	}

	private static ApplyResult failed(PlatformError error) {
		return new ApplyResult(ApplyResult.Status.NOT_APPLIED, 0,
				List.of("nothing was changed; the platform's service: " + error.message()));
	}

	private static void pause() {
		try {
			Thread.sleep(PAUSE_MS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
