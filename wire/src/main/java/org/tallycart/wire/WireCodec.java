package org.tallycart.wire;

import java.util.function.Supplier;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import org.tallycart.wire.message.Envelope;

/**
 * Frames of protobuf: a length of four bytes, then an {@link Envelope}.
 * <p>
 * Thread-safe.
 *
 * @since 0.1
 */
final class WireCodec extends ChannelInitializer<SocketChannel> {

	private static final int LENGTH_BYTES = 4;

	private static final int MAX_FRAME_BYTES = 8 << 20;

	private final Supplier<ChannelHandler> last;

	WireCodec(Supplier<ChannelHandler> last) {
		this.last = last;
	}

	@Override
	protected void initChannel(SocketChannel channel) {
		channel.pipeline()
			.addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
			.addLast(new ProtobufDecoder(Envelope.getDefaultInstance()))
			.addLast(new LengthFieldPrepender(LENGTH_BYTES))
			.addLast(new ProtobufEncoder())
			.addLast(this.last.get());
	}

}
