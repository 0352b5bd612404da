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
 * An answer whose body is read line by line or as a whole.
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

	private final boolean keep;

	private @Nullable BufferedReader reader;

	StreamedReply(HttpConnection connection, int status, List<HttpField> fields, InputStream body, boolean keep) {
		this.connection = connection;
		this.status = status;
		this.fields = fields;
		this.body = body;
		this.keep = keep;
	}

	/**
	 * Return the status code.
	 * @return the code
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Return a header field's value.
	 * @param name the field's name, in any case
	 * @return the value, or empty
	 */
	public Optional<String> field(String name) {
		return new HttpReply(this.status, this.fields, new byte[0]).field(name);
	}

	/**
	 * Read the body to its end.
	 * @return the whole answer, or a failure
	 */
	public Either<HttpFailure, HttpReply> readFully() {
		try {
			byte[] bytes = this.body.readNBytes(this.connection.maxBody() + 1);
			if (bytes.length > this.connection.maxBody()) {
				this.connection.abort();
				return Either.left(new HttpFailure(HttpFailure.Kind.TOO_LARGE, true,
						"the answer is over " + this.connection.maxBody() + " bytes"));
			}
			finish();
			return Either.right(new HttpReply(this.status, this.fields, bytes));
		}
		catch (IOException ex) {
			return Either.left(this.connection.fail(ex));
		}
	}

	/**
	 * Read the next line.
	 * @param timeoutMs how long to wait for bytes
	 * @return the line, empty at the body's end, or a failure
	 */
	public Either<HttpFailure, Optional<String>> nextLine(long timeoutMs) {
		try {
			this.connection.timeout(timeoutMs);
			if (this.reader == null) {
				this.reader = new BufferedReader(new InputStreamReader(this.body, StandardCharsets.UTF_8));
			}
			Optional<String> line = Optional.ofNullable(this.reader.readLine());
			if (line.isEmpty()) {
				finish();
			}
			return Either.right(line);
		}
		catch (IOException ex) {
			return Either.left(this.connection.fail(ex));
		}
	}

	private void finish() {
		if (!this.keep) {
			this.connection.doNotReuse();
		}
	}

	/**
	 * Return the connection this answer comes by.
	 * @return the connection
	 */
	public HttpConnection connection() {
		return this.connection;
	}

}
