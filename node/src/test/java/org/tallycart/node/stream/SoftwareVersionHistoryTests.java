package org.tallycart.node.stream;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.tallycart.core.serving.UpstreamEntry;
import org.tallycart.core.stream.StreamOriginRegistry;
import org.tallycart.core.upstream.UpstreamDirectory;
import org.tallycart.http.event.HeldBytes;
import org.tallycart.http.event.HttpClient;
import org.tallycart.http.event.MessageLimits;
import org.tallycart.http.event.ReceiveLimits;
import org.tallycart.node.EventLoop;
import org.tallycart.node.log.NodeLog;
import org.tallycart.node.store.ActiveConfig;
import org.tallycart.platform.standin.StoreStandin;
import org.tallycart.platform.store.ObjectClient;
import org.tallycart.platform.store.SoftwareVersionRecords;
import org.tallycart.runtime.process.TaskFailureHandler;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Tests for {@link SoftwareVersionHistory} with a store on a real socket.
 */
public class SoftwareVersionHistoryTests {

	private static final long WAIT_S = 10;

	private static final long NOW_MS = 10 * StreamOriginRegistry.RETENTION_MS;

	private static final String ONLY = "{\"versions\":[{\"version\":\"v1\"}]}";

	private static final String SEVERAL = "{\"versions\":[{\"version\":\"v1\"},{\"version\":\"v2\"}]}";

	private EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final UpstreamDirectory directory = new UpstreamDirectory();

	@BeforeMethod
	void setUp() {
		this.group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
	}

	@AfterMethod
	void tearDown() throws InterruptedException {
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(WAIT_S, TimeUnit.SECONDS);
	}

	@DataProvider
	static Object[][] lists() {
		long settled = NOW_MS - StreamOriginRegistry.RETENTION_MS;
		return new Object[][] { { settled, SEVERAL, false, "v1" }, { settled, SEVERAL, true, "" },
				{ settled, ONLY, true, "v1" }, { NOW_MS, ONLY, false, "v1" }, { NOW_MS, SEVERAL, false, "" },
				{ NOW_MS, "{}", false, "" }, { NOW_MS + 1, ONLY, false, "v1" }, { Long.MAX_VALUE, ONLY, false, "" } };
	}

	// Guards against a version that is taken for the only one without evidence for all of
	// the time, and against a list that becomes up to date during a lookup.
	@Test(dataProvider = "lists")
	void aVersionIsTheOnlyOneIfTheListOrTheRecordShowsIt(long upToDateSinceMs, String record, boolean confirm,
			String expected) throws Exception {
		StoreStandin store = StoreStandin.start(this.group);
		store.put(SoftwareVersionRecords.KIND, "s", record);
		this.directory.put(UpstreamEntry.builder("a", "s").softwareVersion("v1").build(), 0);
		CompletableFuture<Optional<String>> found = new CompletableFuture<>();
		SoftwareVersionHistory history = create(store, upToDateSinceMs);
		this.group.execute(() -> history.findOnlyVersion("s", confirm, NOW_MS, found::complete));
		assertEquals(found.get(WAIT_S, TimeUnit.SECONDS).orElse(""), expected);
	}

	private SoftwareVersionHistory create(StoreStandin store, long upToDateSinceMs) {
		EventLoop loop = new EventLoop(this.group.next(), TaskFailureHandler.install((code, detail) -> {
			throw new IllegalStateException(detail);
		}));
		NodeLog log = new NodeLog(loop::nowMs);
		HttpClient http = HttpClient.create(this.group, loop::nowMs,
				new ReceiveLimits(MessageLimits.builder().build(), new HeldBytes(1 << 20)));
		ObjectClient objects = new ObjectClient(http, loop.executor(), store.address(), (call) -> {
		});
		return new SoftwareVersionHistory(this.directory, new ActiveConfig(log), new SoftwareVersionRecords(objects),
				loop, log, () -> upToDateSinceMs, () -> false);
	}

}
