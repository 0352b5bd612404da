package org.tallycart.http.event;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Input buffer of HttpCore parsers, filled with the bytes received on a channel.
 * <p>
 * Not thread-safe: confined to one event loop.
 */
final class ReceiveBuffer implements SessionInputBuffer {

	private static final int INITIAL_CAPACITY_BYTES = 1024;

	private static final int MAX_RETAINED_CAPACITY_BYTES = 16 * 1024;

	private ByteBuf bytes = Unpooled.buffer(INITIAL_CAPACITY_BYTES);

	/** Number of bytes at the beginning that contain no end of a line. */
	private int bytesWithoutLineEnd;

	private LineCheck lineCheck = LineCheck.NONE;

	/**
	 * Set the check of all lines that are read from now on.
	 * @param check the check
	 */
	void setLineCheck(LineCheck check) {
		this.lineCheck = check;
	}

	void add(ByteBuf received) {
		// Parsed bytes would otherwise stay while the end of each part is incomplete.
		if (this.bytes.readerIndex() > this.bytes.capacity() / 2) {
			this.bytes.discardReadBytes();
		}
		this.bytes.writeBytes(received);
	}

	int capacity() {
		return this.bytes.capacity();
	}

	/** Releases a large buffer once all of its bytes are parsed. */
	void trim() {
		if (this.bytes.isReadable()) {
			return;
		}
		if (this.bytes.capacity() > MAX_RETAINED_CAPACITY_BYTES) {
			this.bytes = Unpooled.buffer(INITIAL_CAPACITY_BYTES);
		}
		else {
			this.bytes.clear();
		}
	}

	@Override
	public boolean hasData() {
		return this.bytes.isReadable();
	}

	@Override
	public int length() {
		return this.bytes.readableBytes();
	}

	/** Reads no bytes: the event loop fills this buffer. Reports the end of the input. */
	@Override
	public int fill(ReadableByteChannel channel) throws IOException {
		return channel.read(ByteBuffer.allocate(0));
	}

	@Override
	public int read() {
		this.bytesWithoutLineEnd = 0;
		return this.bytes.readUnsignedByte();
	}

	@Override
	public int read(ByteBuffer target, int limit) {
		this.bytesWithoutLineEnd = 0;
		int count = Math.min(Math.min(limit, target.remaining()), this.bytes.readableBytes());
		ByteBuffer part = target.duplicate();
		part.limit(target.position() + count);
		this.bytes.readBytes(part);
		target.position(target.position() + count);
		return count;
	}

	@Override
	public int read(ByteBuffer target) {
		return read(target, target.remaining());
	}

	@Override
	public int read(WritableByteChannel target, int limit) throws IOException {
		this.bytesWithoutLineEnd = 0;
		int count = Math.min(limit, this.bytes.readableBytes());
		byte[] part = new byte[count];
		this.bytes.readBytes(part);
		return target.write(ByteBuffer.wrap(part));
	}

	@Override
	public int read(WritableByteChannel target) throws IOException {
		return read(target, this.bytes.readableBytes());
	}

	@Override
	public boolean readLine(CharArrayBuffer line, boolean endOfStream) throws IOException {
		int begin = this.bytes.readerIndex();
		int lineEnd = this.bytes.indexOf(begin + this.bytesWithoutLineEnd, this.bytes.writerIndex(), (byte) '\n');
		if (lineEnd < 0) {
			this.bytesWithoutLineEnd = this.bytes.readableBytes();
			return false;
		}
		this.bytesWithoutLineEnd = 0;
		int lineFeed = lineEnd - begin;
		int length = lineFeed;
		if (length > 0 && this.bytes.getByte(this.bytes.readerIndex() + length - 1) == '\r') {
			length--;
		}
		String text = this.bytes.toString(this.bytes.readerIndex(), length, StandardCharsets.ISO_8859_1);
		this.lineCheck.check(text);
		line.append(text);
		this.bytes.skipBytes(lineFeed + 1);
		return true;
	}

	/** Check of a line before it is parsed. */
	interface LineCheck {

		/** Accepts all lines. */
		LineCheck NONE = (line) -> {
		};

		/**
		 * Check a line.
		 * @param line the line, without its end
		 * @throws IOException if it is malformed
		 */
		void check(String line) throws IOException;

	}

}
