package org.tallycart.core.replication;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * SHA-256 digests in hexadecimal.
 * <p>
 * Thread-safe: holds no state.
 *
 * @since 0.1
 */
public final class Digest {

	private Digest() {
	}

	/**
	 * Return the digest of a text encoded in UTF-8.
	 * @param text the text
	 * @return the digest
	 */
	public static String of(String text) {
		return of(text.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Return the digest of bytes.
	 * @param bytes the bytes
	 * @return the digest
	 */
	public static String of(byte[] bytes) {
		return HexFormat.of().formatHex(sha256().digest(bytes));
	}

	/**
	 * Create a SHA-256 message digest for incremental updates.
	 * @return the message digest
	 */
	public static MessageDigest sha256() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is required in every Java runtime but not available", ex);
		}
	}

}
