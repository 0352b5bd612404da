package org.tallycart.node.stream;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.tallycart.core.serving.CallerLimits;
import org.tallycart.core.serving.RequestKind;
import org.tallycart.core.serving.Route;
import org.tallycart.core.serving.ServiceShare;
import org.tallycart.core.serving.ServingConfig;
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
import static org.testng.Assert.assertTrue;

/**
 * Tests for {@link SoftwareVersionHistory} with a store on a real socket.
 */
public class SoftwareVersionHistoryTests {

	private static final long WAIT_S = 10;

	private static final long NOW_MS = 10 * StreamOriginRegistry.RETENTION_MS;

	private static final String ONLY = "{\"versions\":[{\"version\":\"v1\"}]}";

	private static final String SEVERAL = "{\"versions\":[{\"version\":\"v1\"},{\"version\":\"v2\"}]}";

	private static final Route ROUTE = new Route("r", "h", "/", RequestKind.STREAMING,
			List.of(new ServiceShare("s", 1), new ServiceShare("odd", 1)), 20_000, 1_000, 500, 0, 1, List.of(), false,
			true);

	private static final ServingConfig CONFIG = new ServingConfig(7, List.of(ROUTE), Map.of(), CallerLimits.DEFAULTS,
			Map.of(), false);

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
		SoftwareVersionHistory history = create(store, upToDateSinceMs, false);
		this.group.execute(() -> history.findOnlyVersion("s", confirm, NOW_MS, found::complete));
		assertEquals(found.get(WAIT_S, TimeUnit.SECONDS).orElse(""), expected);
	}

	@DataProvider
	static Object[][] others() {
		return new Object[][] { { Map.of("r", "{}") }, { Map.of("r", "7", "s&x", "{}", "t", ONLY) },
				{ Map.of("a", ONLY, "b", ONLY, "c&x", "\"odd\"", "d", SEVERAL, "t", "{\"versions\":[{}]}") } };
	}

	// Guards against one odd record, or more of them than a page lists, that hides the
	// records of all services.
	@Test(dataProvider = "others")
	void otherRecordsDoNotHideThatOfTheService(Map<String, String> others) throws Exception {
		StoreStandin store = StoreStandin.start(this.group);
		store.continueAfterKnownNamesOnly(true);
		store.put(SoftwareVersionRecords.KIND, "s", ONLY);
		others.forEach((name, record) -> store.put(SoftwareVersionRecords.KIND, name, record));
		this.directory.put(UpstreamEntry.builder("a", "s").softwareVersion("v1").build(), 0);
		CompletableFuture<Optional<String>> found = new CompletableFuture<>();
		SoftwareVersionHistory history = create(store, NOW_MS, false);
		this.group.execute(() -> history.findOnlyVersion("s", true, NOW_MS, found::complete));
		assertEquals(found.get(WAIT_S, TimeUnit.SECONDS), Optional.of("v1"));
		assertEquals(store.malformedCalls(), 0);
	}

	// Guards against an odd record that keeps those of other services from being written,
	// and against versions that are lost since it is replaced.
	@Test
	void aVersionIsRecordedBesideAnInvalidRecord() throws Exception {
		StoreStandin store = StoreStandin.start(this.group);
		store.put(SoftwareVersionRecords.KIND, "odd", "{}");
		this.directory.put(UpstreamEntry.builder("a", "s").softwareVersion("v1").build(), 0);
		this.directory.put(UpstreamEntry.builder("b", "odd").softwareVersion("v1").build(), 0);
		SoftwareVersionHistory history = create(store, 0, true);
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_S);
		while (store.spec(SoftwareVersionRecords.KIND, "s").isEmpty()) {
			assertTrue(System.nanoTime() < end, "no record in time");
			this.group.execute(history::refresh);
			TimeUnit.MILLISECONDS.sleep(20);
		}
		assertEquals(store.spec(SoftwareVersionRecords.KIND, "s"), ONLY);
		assertEquals(store.spec(SoftwareVersionRecords.KIND, "odd"), "{}");
	}

	private SoftwareVersionHistory create(StoreStandin store, long upToDateSinceMs, boolean records) {
		EventLoop loop = new EventLoop(this.group.next(), TaskFailureHandler.install((code, detail) -> {
			throw new IllegalStateException(detail);
		}));
		NodeLog log = new NodeLog(loop::nowMs);
		HttpClient http = HttpClient.create(this.group, loop::nowMs,
				new ReceiveLimits(MessageLimits.builder().build(), new HeldBytes(1 << 20)));
		ObjectClient objects = new ObjectClient(http, loop.executor(), store.address(), (call) -> {
		});
		ActiveConfig config = new ActiveConfig(log);
		config.offer(CONFIG);
		return new SoftwareVersionHistory(this.directory, config, new SoftwareVersionRecords(objects), loop, log,
				() -> upToDateSinceMs, () -> records);
	}

}
