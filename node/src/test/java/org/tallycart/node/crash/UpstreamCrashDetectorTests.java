package org.tallycart.node.crash;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.jspecify.annotations.Nullable;
import org.tallycart.core.crash.ContentFingerprints;
import org.tallycart.core.crash.CrashReport;
import org.tallycart.core.crash.Fingerprint;
import org.tallycart.core.crash.Suspect;
import org.tallycart.core.ini.Address;
import org.tallycart.core.serving.UpstreamEntry;
import org.tallycart.http.event.HeldBytes;
import org.tallycart.http.event.HttpClient;
import org.tallycart.http.event.MessageLimits;
import org.tallycart.http.event.ReceiveLimits;
import org.tallycart.node.EventLoop;
import org.tallycart.node.log.NodeLog;
import org.tallycart.node.metrics.NodeMetrics;
import org.tallycart.runtime.process.TaskFailureHandler;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;

/**
 * Tests for the detection of crashed upstreams, on real sockets.
 */
public class UpstreamCrashDetectorTests {

	private static final long WAIT_MS = 15_000;

	/** Time within which a report would be made, in milliseconds. */
	private static final long REPORT_MS = 1_000;

	private final BlockingQueue<CrashReport> reports = new LinkedBlockingQueue<>();

	private EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private volatile boolean linksLost;

	@BeforeMethod
	void begin() {
		this.group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
		this.reports.clear();
		this.linksLost = false;
	}

	@AfterMethod
	void end() {
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	@Test
	void aRefusedProbeReportsACrash() throws Exception {
		assertNotNull(interrupt("i-1", WAIT_MS));
	}

	// Guards against healthy requests that are quarantined, since a VM that lost its
	// links
	// takes all upstreams for crashed.
	@Test
	void aVmWithoutLinksReportsNoCrash() throws Exception {
		this.linksLost = true;
		assertNull(interrupt("i-1", REPORT_MS));
		this.linksLost = false;
		CrashReport report = interrupt("i-2", WAIT_MS);
		assertNotNull(report);
		assertEquals(report.incarnation(), "i-2");
	}

	private @Nullable CrashReport interrupt(String id, long waitMs) throws Exception {
		EventLoop loop = new EventLoop(this.group.next(), TaskFailureHandler.install((code, detail) -> {
			throw new IllegalStateException(detail);
		}));
		HttpClient http = HttpClient.create(this.group, loop::nowMs,
				new ReceiveLimits(MessageLimits.builder().build(), new HeldBytes(1 << 20)));
		UpstreamCrashDetector detector = new UpstreamCrashDetector(http, () -> this.linksLost, loop,
				new NodeLog(loop::nowMs), new NodeMetrics(), new ReportListener());
		UpstreamEntry upstream = UpstreamEntry.builder(id, "service").location(closedAddress(), "d").build();
		loop.execute(() -> detector.onInterrupted(upstream, new InterruptedRequest(
				new Suspect(new Fingerprint("0a"), "r1", loop.nowMs()), InterruptedRequest.NOT_ANSWERED)));
		return this.reports.poll(waitMs, TimeUnit.MILLISECONDS);
	}

	private static Address closedAddress() throws IOException {
		try (ServerSocket closed = new ServerSocket(0)) {
			return new Address("127.0.0.1", closed.getLocalPort());
		}
	}

	/** Collects the reports. */
	private final class ReportListener implements UpstreamCrashDetector.Listener {

		@Override
		public void onCrash(CrashReport report) {
			UpstreamCrashDetectorTests.this.reports.add(report);
		}

		@Override
		public void onServed(ContentFingerprints content) {
			// Not used by these tests.
		}

		@Override
		public void onPartsRead(ContentFingerprints content) {
			// Not used by these tests.
		}

	}

}
