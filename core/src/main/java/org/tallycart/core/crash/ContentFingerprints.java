package org.tallycart.core.crash;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.stream.Collectors;

import org.tallycart.core.replication.Digest;
import org.tallycart.core.serving.CallerRequest;
import org.tallycart.core.serving.Prompt;

/**
 * Identifies what a request may crash an upstream by: its content as a whole, and each
 * part of its prompt that other requests may share.
 * <p>
 * Immutable and thread-safe.
 *
 * @param request the fingerprint of the whole request
 * @param parts the fingerprints of the parts, most widely shared first, without the last
 * one, which belongs to the request
 * @since 0.1
 */
public record ContentFingerprints(Fingerprint request, List<Fingerprint> parts) {

	/**
	 * Compute the fingerprints of a request.
	 * @param request the request
	 * @return the fingerprints
	 */
	public static ContentFingerprints of(CallerRequest request) {
		List<Fingerprint> parts = request.prompt().map(ContentFingerprints::partsOf).orElse(List.of());
		return new ContentFingerprints(Fingerprint.of(request), parts);
	}

	private static List<Fingerprint> partsOf(Prompt prompt) {
		return prompt.leadingParts().stream().map((part) -> partFingerprint(prompt.model(), part.id())).toList();
	}

	private static Fingerprint partFingerprint(String model, String part) {
		MessageDigest digest = Digest.sha256();
		digest.update(("prompt part " + model + "/" + part).getBytes(StandardCharsets.UTF_8));
		return Fingerprint.of(digest);
	}

	/**
	 * Return the fingerprints of the request and of its parts.
	 * @return all fingerprints
	 */
	public List<Fingerprint> all() {
		List<Fingerprint> all = new ArrayList<>(this.parts);
		all.add(this.request);
		return all;
	}

	/**
	 * Return the short forms of fingerprints, for logs.
	 * @param fingerprints the fingerprints
	 * @return the short forms, joined by a plus sign; {@code none} if there are none
	 */
	public static String shortText(Collection<Fingerprint> fingerprints) {
		return fingerprints.isEmpty() ? "none"
				: fingerprints.stream().map(Fingerprint::shortText).collect(Collectors.joining("+"));
	}

}
