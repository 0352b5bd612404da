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
 * Initializes the pipeline of a channel. A frame is a length of four bytes, followed by
 * an {@link Envelope} in protobuf encoding.
 * <p>
 * Thread-safe.
 *
 * @since 0.1
 */
final class WireCodec extends ChannelInitializer<SocketChannel> {

	private static final int LENGTH_BYTES = 4;

	private static final int MAX_FRAME_BYTES = 8 << 20;

	private final Supplier<ChannelHandler> handlerFactory;

	WireCodec(Supplier<ChannelHandler> handlerFactory) {
		this.handlerFactory = handlerFactory;
	}

	@Override
	protected void initChannel(SocketChannel channel) {
		channel.pipeline()
			.addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
			.addLast(new ProtobufDecoder(Envelope.getDefaultInstance()))
			.addLast(new LengthFieldPrepender(LENGTH_BYTES))
			.addLast(new ProtobufEncoder())
			.addLast(this.handlerFactory.get());
	}

}
