package org.tallycart.http.event;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vavr.control.Either;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.tallycart.core.ini.Address;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests the memory of a process whose upstreams send replies without an end, in a process
 * of its own with a small heap.
 */
public class EndlessRepliesMemoryTests {

	private static final int CALLS = 300;

	private static final long WAIT_S = 60;

	// Guards against a heap that many upstreams fill together, although each stays below
	// the limit of a reply.
	@Test
	void manyEndlessBodiesExceedTheLimitOfAllAndASoundReplyIsRead() throws Exception {
		ExecutorService threads = Executors.newCachedThreadPool();
		try (ServerSocket endless = listen(); ServerSocket sound = listen()) {
			threads.execute(() -> accept(endless, threads, true));
			threads.execute(() -> accept(sound, threads, false));
			String java = ProcessHandle.current().info().command().orElseThrow();
			String classPath = System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
			Process process = new ProcessBuilder(List.of(java, "-Xmx80m", "-XX:+UseSerialGC",
					"-XX:+ExitOnOutOfMemoryError", "-cp", classPath, Caller.class.getName(),
					String.valueOf(endless.getLocalPort()), String.valueOf(sound.getLocalPort())))
				.redirectErrorStream(true)
				.start();
			try {
				String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
				assertTrue(process.waitFor(WAIT_S, TimeUnit.SECONDS));
				assertTrue(output.contains("limit exceeded " + CALLS + ", sound reply 2000000"), output);
				assertEquals(process.exitValue(), 0, output);
			}
			finally {
				process.destroyForcibly();
			}
		}
		finally {
			threads.shutdownNow();
		}
	}

	private static ServerSocket listen() throws IOException {
		return new ServerSocket(0, CALLS, InetAddress.getLoopbackAddress());
	}

	private static void accept(ServerSocket server, ExecutorService threads, boolean endless) {
		try {
			while (!server.isClosed()) {
				Socket caller = server.accept();
				threads.execute(() -> reply(caller, endless));
			}
		}
		catch (IOException ex) {
			// The test has ended.
		}
	}

	private static void reply(Socket caller, boolean endless) {
		String framing = endless ? "" : "Content-Length: " + Caller.SOUND_BYTES + "\r\n";
		byte[] part = new byte[10_000];
		try (caller) {
			OutputStream out = caller.getOutputStream();
			out.write(("HTTP/1.1 200 OK\r\n" + framing + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
			for (int sent = 0; endless || sent < Caller.SOUND_BYTES; sent += part.length) {
				out.write(part);
			}
			caller.getInputStream().transferTo(OutputStream.nullOutputStream());
		}
		catch (IOException ex) {
			// The caller has closed the connection.
		}
	}

	/** Process that makes the calls. */
	public static final class Caller {

		private static final int SOUND_BYTES = 2_000_000;

		private static final long MAX_HELD_BYTES = 16 << 20;

		private Caller() {
		}

		/**
		 * Make the calls and print how they ended.
		 * @param args the port of the endless replies, and that of the sound one
		 */
		public static void main(String[] args) throws Exception {
			EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
			HttpClient client = HttpClient.create(group, () -> System.nanoTime() / 1_000_000,
					new ReceiveLimits(MessageLimits.builder().build(), new HeldBytes(MAX_HELD_BYTES)));
			AtomicInteger exceeded = new AtomicInteger();
			AtomicInteger ended = new AtomicInteger();
			CompletableFuture<Integer> sound = new CompletableFuture<>();
			CompletableFuture<Void> all = new CompletableFuture<>();
			group.execute(() -> {
				for (int i = 0; i < CALLS; i++) {
					call(client, group, args[0], (outcome) -> {
						if (outcome.isLeft() && outcome.getLeft().kind() == CallFailure.Kind.LIMIT_EXCEEDED) {
							exceeded.incrementAndGet();
						}
						if (ended.incrementAndGet() == CALLS) {
							all.complete(null);
						}
					});
				}
				call(client, group, args[1],
						(outcome) -> sound.complete(outcome.isRight() ? outcome.get().body().length : -1));
			});
			all.get(WAIT_S, TimeUnit.SECONDS);
			System.out.println("limit exceeded " + exceeded + ", sound reply " + sound.get(WAIT_S, TimeUnit.SECONDS));
			System.exit(0);
		}

		private static void call(HttpClient client, EventLoopGroup group, String port,
				Consumer<Either<CallFailure, FullReply>> consumer) {
			ClientRequest request = ClientRequest
				.builder("p", new Address("127.0.0.1", Integer.parseInt(port)), new BasicHttpRequest("GET", "/x"))
				.connectTimeoutMs(10_000)
				.build();
			FullReplyCall.start(client, group.next(), request, 30_000, consumer);
		}

	}

}
