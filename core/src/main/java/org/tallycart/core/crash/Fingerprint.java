package org.tallycart.core.crash;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;

import org.tallycart.core.replication.Digest;
import org.tallycart.core.serving.CallerRequest;

/**
 * Identifies requests with the same content and caller under different request ids: a
 * digest of the caller's API key, the method, host, target and body.
 * <p>
 * Immutable and thread-safe.
 *
 * @param value the first half of a SHA-256 digest, in hexadecimal
 * @since 0.1
 */
public record Fingerprint(String value) {

	/** Fingerprint of no request. */
	public static final Fingerprint NONE = new Fingerprint("");

	/**
	 * Length of the truncated digest, in bytes. Long enough that no two requests collide
	 * by chance.
	 */
	private static final int DIGEST_BYTES = 16;

	/** Length of the short form, in hexadecimal digits. */
	private static final int SHORT_DIGITS = 12;

	/**
	 * Compute the fingerprint of a request.
	 * @param request the request
	 * @return the fingerprint; equal for requests with the same content and caller
	 */
	public static Fingerprint of(CallerRequest request) {
		MessageDigest digest = Digest.sha256();
		add(digest, request.method());
		add(digest, request.host());
		add(digest, request.target());
		add(digest, request.key().orElse(""));
		digest.update(request.body());
		return of(digest);
	}

	static Fingerprint of(MessageDigest digest) {
		return new Fingerprint(HexFormat.of().formatHex(digest.digest(), 0, DIGEST_BYTES));
	}

	// The length prefix keeps the boundaries between the texts unambiguous.
	private static void add(MessageDigest digest, String text) {
		byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
		digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).flip());
		digest.update(bytes);
	}

	/**
	 * Return a short form for logs.
	 * @return the first digits of the value
	 */
	public String shortText() {
		return this.value.substring(0, Math.min(SHORT_DIGITS, this.value.length()));
	}

}
