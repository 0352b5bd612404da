package org.tallycart.http.event;

import java.util.Locale;

import io.vavr.control.Either;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpMessage;

/**
 * Framing of a message body. Ambiguous framing is an error, since two parsers could
 * disagree on where the next message begins (request smuggling).
 * <p>
 * Immutable and thread-safe.
 *
 * @param kind the kind of framing
 * @param length the length of the body in bytes if the kind is FIXED, otherwise 0
 */
record BodyFraming(Kind kind, long length) {

	static final BodyFraming EMPTY = new BodyFraming(Kind.FIXED, 0);

	static final BodyFraming CHUNKED = new BodyFraming(Kind.CHUNKED, 0);

	static final BodyFraming UNTIL_CLOSE = new BodyFraming(Kind.UNTIL_CLOSE, 0);

	/** Maximum number of digits of a Content-Length, which keeps it within a long. */
	private static final int MAX_LENGTH_DIGITS = 15;

	static Either<String, BodyFraming> ofRequest(HttpMessage request) {
		return parse(request).map((framing) -> (framing.kind() == Kind.UNTIL_CLOSE) ? EMPTY : framing);
	}

	static Either<String, BodyFraming> ofResponse(HttpMessage response, int status, boolean headRequest) {
		if (headRequest || status == 204 || status == 304) {
			return Either.right(EMPTY);
		}
		return parse(response);
	}

	private static Either<String, BodyFraming> parse(HttpMessage message) {
		Header[] codings = message.getHeaders("Transfer-Encoding");
		Header[] lengths = message.getHeaders("Content-Length");
		if (codings.length > 0) {
			boolean chunked = codings.length == 1
					&& "chunked".equals(codings[0].getValue().trim().toLowerCase(Locale.ROOT));
			if (!chunked) {
				return Either.left("unsupported Transfer-Encoding, expected chunked");
			}
			return (lengths.length == 0) ? Either.right(CHUNKED)
					: Either.left("both Content-Length and Transfer-Encoding are present");
		}
		if (lengths.length == 0) {
			return Either.right(UNTIL_CLOSE);
		}
		if (lengths.length > 1) {
			return Either.left("more than one Content-Length");
		}
		return parseLength(lengths[0].getValue().trim());
	}

	private static Either<String, BodyFraming> parseLength(String text) {
		boolean digits = !text.isEmpty() && text.length() <= MAX_LENGTH_DIGITS
				&& text.chars().allMatch((c) -> c >= '0' && c <= '9');
		return digits ? Either.right(new BodyFraming(Kind.FIXED, Long.parseLong(text)))
				: Either.left("invalid Content-Length, expected up to " + MAX_LENGTH_DIGITS + " digits");
	}

	/** Kinds of framing. */
	enum Kind {

		/** The length is given by Content-Length. */
		FIXED,
		/** The body uses the chunked transfer coding. */
		CHUNKED,
		/** The body is delimited by the close of the connection. */
		UNTIL_CLOSE

	}

}
