package org.tallycart.standin;

import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.OutputStream;

import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.io.entity.HttpEntityWrapper;

/**
 * Entity whose length is not stated, which may end in order before it is complete.
 * <p>
 * Not thread-safe.
 */
final class UnframedEntity extends HttpEntityWrapper {

	/** Bytes that a broken stream sends: one event and part of the next. */
	private static final int BROKEN_STREAM_BYTES = 100;

	private final boolean broken;

	UnframedEntity(HttpEntity entity, boolean broken) {
		super(entity);
		this.broken = broken;
	}

	@Override
	public long getContentLength() {
		return -1;
	}

	@Override
	public boolean isChunked() {
		return false;
	}

	@Override
	public void writeTo(OutputStream out) throws IOException {
		super.writeTo(this.broken ? new TruncatedStream(out, brokenBytes()) : out);
	}

	private int brokenBytes() {
		long length = super.getContentLength();
		return (length < 0) ? BROKEN_STREAM_BYTES : (int) length / 2;
	}

	/** Passes on the first bytes and drops the rest. */
	private static final class TruncatedStream extends FilterOutputStream {

		private int remaining;

		private TruncatedStream(OutputStream out, int count) {
			super(out);
			this.remaining = count;
		}

		@Override
		public void write(int value) throws IOException {
			if (this.remaining > 0) {
				this.remaining--;
				this.out.write(value);
			}
		}

	}

}
