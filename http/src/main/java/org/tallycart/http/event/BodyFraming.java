package org.tallycart.http.event;

import java.util.Locale;

import io.vavr.control.Either;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpMessage;

/**
 * How the end of a message's body is found. Ambiguous framing is an error, since two
 * readers could disagree on where the next message begins.
 * <p>
 * Immutable and thread-safe.
 *
 * @param kind the kind of framing
 * @param length the body's length in bytes where the kind is FIXED, otherwise 0
 */
record BodyFraming(Kind kind, long length) {

	static final BodyFraming EMPTY = new BodyFraming(Kind.FIXED, 0);

	static final BodyFraming CHUNKED = new BodyFraming(Kind.CHUNKED, 0);

	static final BodyFraming UNTIL_CLOSE = new BodyFraming(Kind.UNTIL_CLOSE, 0);

	/** More digits could not be a length that any limit allows. */
	private static final int MAX_LENGTH_DIGITS = 15;

	static Either<String, BodyFraming> ofRequest(HttpMessage request) {
		return declared(request).map((framing) -> (framing.kind() == Kind.UNTIL_CLOSE) ? EMPTY : framing);
	}

	static Either<String, BodyFraming> ofResponse(HttpMessage response, int status, boolean headRequest) {
		if (headRequest || status == 204 || status == 304) {
			return Either.right(EMPTY);
		}
		return declared(response);
	}

	private static Either<String, BodyFraming> declared(HttpMessage message) {
		Header[] codings = message.getHeaders("Transfer-Encoding");
		Header[] lengths = message.getHeaders("Content-Length");
		if (codings.length > 0) {
			boolean chunked = codings.length == 1
					&& "chunked".equals(codings[0].getValue().trim().toLowerCase(Locale.ROOT));
			if (!chunked) {
				return Either.left("unknown transfer coding");
			}
			return (lengths.length == 0) ? Either.right(CHUNKED) : Either.left("both a length and a transfer coding");
		}
		if (lengths.length == 0) {
			return Either.right(UNTIL_CLOSE);
		}
		if (lengths.length > 1) {
			return Either.left("more than one length");
		}
		return fixed(lengths[0].getValue().trim());
	}

	private static Either<String, BodyFraming> fixed(String text) {
		boolean digits = !text.isEmpty() && text.length() <= MAX_LENGTH_DIGITS
				&& text.chars().allMatch((c) -> c >= '0' && c <= '9');
		return digits ? Either.right(new BodyFraming(Kind.FIXED, Long.parseLong(text)))
				: Either.left("a length that is not a number");
	}

	/** Kinds of framing. */
	enum Kind {

		/** A length is given. */
		FIXED,
		/** The body is sent in chunks. */
		CHUNKED,
		/** The body ends with the connection. */
		UNTIL_CLOSE

	}

}
