package org.tallycart.http;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;

import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.MessageHeaders;
import org.apache.hc.core5.http.io.HttpMessageParser;
import org.apache.hc.core5.http.io.SessionInputBuffer;

/**
 * Parser of heads that fails if the input ends within one. The parser of the library
 * takes what has arrived for the whole head, which may lack the fields that frame the
 * body.
 * <p>
 * Not thread-safe: belongs to one connection.
 *
 * @param <T> the type of message head
 */
final class WholeHeadParser<T extends MessageHeaders> implements HttpMessageParser<T> {

	private final HttpMessageParser<T> parser;

	WholeHeadParser(HttpMessageParser<T> parser) {
		this.parser = parser;
	}

	@Override
	public T parse(SessionInputBuffer buffer, InputStream input) throws IOException, HttpException {
		return this.parser.parse(buffer, new UnendedInputStream(input));
	}

	/** Input whose end is an error. */
	private static final class UnendedInputStream extends FilterInputStream {

		private UnendedInputStream(InputStream input) {
			super(input);
		}

		@Override
		public int read() throws IOException {
			return checkNotEnded(super.read());
		}

		@Override
		public int read(byte[] bytes, int offset, int length) throws IOException {
			return checkNotEnded(super.read(bytes, offset, length));
		}

		private static int checkNotEnded(int read) throws IOException {
			if (read < 0) {
				throw new ConnectionClosedException("the connection was closed before the end of a head");
			}
			return read;
		}

	}

}
