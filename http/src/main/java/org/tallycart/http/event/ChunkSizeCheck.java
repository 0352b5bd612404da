package org.tallycart.http.event;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.apache.hc.core5.http.MalformedChunkCodingException;

/**
 * Check of the sizes in a chunked body. The decoder of the library also takes negative
 * sizes, with which it reads content as the next size.
 * <p>
 * Not thread-safe: confined to one event loop.
 */
final class ChunkSizeCheck implements ReceiveBuffer.LineCheck {

	/** A size with its extensions, as in RFC 9112, section 7.1. */
	private static final Pattern SIZE = Pattern.compile("([0-9A-Fa-f]{1,15})[ \t]*(;.*)?", Pattern.DOTALL);

	private static final Pattern ZERO = Pattern.compile("0+");

	private boolean lastSizeSeen;

	/**
	 * Check a line: a size, the empty rest of a line after a chunk, or a trailer.
	 * @param line the line
	 * @throws MalformedChunkCodingException if it is a malformed size
	 */
	@Override
	public void check(String line) throws MalformedChunkCodingException {
		if (this.lastSizeSeen || line.isEmpty()) {
			return;
		}
		Matcher size = SIZE.matcher(line);
		if (!size.matches()) {
			throw new MalformedChunkCodingException("the size of a chunk is no hexadecimal number");
		}
		this.lastSizeSeen = ZERO.matcher(size.group(1)).matches();
	}

}
