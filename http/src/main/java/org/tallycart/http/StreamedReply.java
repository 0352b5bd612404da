package org.tallycart.http;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;

/**
 * Reply whose body is read line by line or fully.
 * <p>
 * Not thread-safe.
 *
 * @since 0.1
 */
public final class StreamedReply {

	private final HttpConnection connection;

	private final int status;

	private final List<HttpField> fields;

	private final InputStream body;

	private final boolean framed;

	private final boolean keepAlive;

	private @Nullable BufferedReader reader;

	private boolean skippingLineFeed;

	StreamedReply(HttpConnection connection, int status, List<HttpField> fields, InputStream body, boolean framed,
			boolean keepAlive) {
		this.connection = connection;
		this.status = status;
		this.fields = fields;
		this.body = body;
		this.framed = framed;
		this.keepAlive = keepAlive;
	}

	/**
	 * Return the status code.
	 * @return the code
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Return the value of the first header field with a name.
	 * @param name the field name, case-insensitive
	 * @return the value, or empty if the field is absent
	 */
	public Optional<String> field(String name) {
		return new HttpReply(this.status, this.fields, new byte[0], this.framed).field(name);
	}

	/**
	 * Read the body to its end.
	 * @return the full reply, or a failure
	 */
	public Either<HttpFailure, HttpReply> readFully() {
		try {
			byte[] bytes = this.body.readNBytes(this.connection.maxBodyBytes() + 1);
			if (bytes.length > this.connection.maxBodyBytes()) {
				this.connection.abort();
				return Either.left(new HttpFailure(HttpFailure.Kind.TOO_LARGE, true,
						"the reply body exceeds " + this.connection.maxBodyBytes() + " bytes"));
			}
			onBodyEnd();
			return Either.right(new HttpReply(this.status, this.fields, bytes, this.framed));
		}
		catch (IOException ex) {
			return Either.left(this.connection.fail(ex));
		}
	}

	/**
	 * Read the next line of the body, as UTF-8.
	 * @param timeoutMs the read timeout, in milliseconds
	 * @return the line, empty at the end of the body, or a failure
	 */
	public Either<HttpFailure, Optional<String>> nextLine(long timeoutMs) {
		try {
			this.connection.setReadTimeout(timeoutMs);
			if (this.reader == null) {
				this.reader = new BufferedReader(new InputStreamReader(this.body, StandardCharsets.UTF_8));
			}
			return readLine(this.reader);
		}
		catch (IOException ex) {
			return Either.left(this.connection.fail(ex));
		}
	}

	// Bounded, unlike the method of the reader. A line ends with CR, LF or both.
	private Either<HttpFailure, Optional<String>> readLine(BufferedReader from) throws IOException {
		StringBuilder line = new StringBuilder();
		while (line.length() <= this.connection.maxBodyLineChars()) {
			int next = from.read();
			if (next < 0 && line.isEmpty()) {
				onBodyEnd();
				return Either.right(Optional.empty());
			}
			if (next == '\n' && this.skippingLineFeed) {
				this.skippingLineFeed = false;
				continue;
			}
			this.skippingLineFeed = next == '\r';
			if (next < 0 || next == '\n' || next == '\r') {
				return Either.right(Optional.of(line.toString()));
			}
			line.append((char) next);
		}
		this.connection.abort();
		return Either.left(new HttpFailure(HttpFailure.Kind.TOO_LARGE, true,
				"a line of the reply body exceeds " + this.connection.maxBodyLineChars() + " characters"));
	}

	private void onBodyEnd() {
		if (!this.keepAlive) {
			this.connection.markNotReusable();
		}
	}

	/**
	 * Return the connection that carries this reply.
	 * @return the connection
	 */
	public HttpConnection connection() {
		return this.connection;
	}

}
