package org.tallycart.integration.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.tallycart.core.ini.Address;
import org.tallycart.node.NodeMain;
import org.tallycart.standin.FaultProxy;
import org.tallycart.testbed.ManagedProcess;

/**
 * VM of the soak test: a serving process in its own JVM_OPTIONS, connected to the store
 * through a proxy.
 * <p>
 * Thread-safe.
 */
final class SoakNode implements AutoCloseable {

	private static final Pattern STARTED = Pattern
		.compile("name=PROCESS_STARTED .*callers=\\S+:(\\d+) readiness=\\S+:(\\d+) ");

	/** Time in which a VM has to stop, in milliseconds. */
	static final long GRACE_MS = 5_000;

	private static final List<String> JVM_OPTIONS = List.of("-Xmx96m", "-Xss256k", "-XX:+UseSerialGC",
			"-XX:TieredStopAtLevel=1");

	private final String vm;

	private final String domain;

	private final Path folder;

	private final String upstreamHost;

	private final FaultProxy storePath;

	private ManagedProcess process;

	private int startCount;

	SoakNode(String vm, String domain, Path folder, Address store, String upstreamHost) throws IOException {
		this.vm = vm;
		this.domain = domain;
		this.folder = folder;
		this.upstreamHost = upstreamHost;
		this.storePath = FaultProxy.start(store);
		writeSettings(52);
		this.process = launch();
	}

	private Path settingsFile() {
		return this.folder.resolve(this.vm + ".conf");
	}

	void writeSettings(int retrySlack) throws IOException {
		Files.writeString(settingsFile(), """
				node=%s
				ip=127.0.0.1
				zone=%s
				listen.front=127.0.0.1:0
				listen.ready=127.0.0.1:0
				port_range=0,0
				limits.cpu_share=1
				limits.cores=1
				platform.address=%s
				bounds.grace_s=%d
				bounds.retry_ratio=0.2
				bounds.retry_window_s=10
				bounds.retry_slack=%d
				""".formatted(this.vm, this.domain, this.storePath.address(), GRACE_MS / 1_000, retrySlack));
	}

	private ManagedProcess launch() throws IOException {
		this.startCount++;
		Path log = this.folder.resolve(this.vm + "-" + this.startCount + ".log");
		return ManagedProcess.start(NodeMain.class.getName(), List.of("--settings", settingsFile().toString(),
				"--metrics-port", "0", "--upstream-proxy-host", this.upstreamHost), log, JVM_OPTIONS,
				SoakNode::parsePorts);
	}

	private static Map<String, Integer> parsePorts(String line) {
		Matcher matcher = STARTED.matcher(line);
		Map<String, Integer> ports = new HashMap<>();
		if (matcher.find()) {
			ports.put("callers", Integer.valueOf(matcher.group(1)));
			ports.put("readiness", Integer.valueOf(matcher.group(2)));
		}
		return ports;
	}

	String vm() {
		return this.vm;
	}

	String upstreamHost() {
		return this.upstreamHost;
	}

	FaultProxy storePath() {
		return this.storePath;
	}

	synchronized Address callers() {
		return this.process.address("callers");
	}

	synchronized Address readiness() {
		return this.process.address("readiness");
	}

	// Identifies one run of the process.
	synchronized String incarnation() {
		return this.vm + "#" + this.startCount;
	}

	synchronized ManagedProcess process() {
		return this.process;
	}

	synchronized void restart() throws IOException {
		if (!this.process.isAlive()) {
			this.process = launch();
		}
	}

	@Override
	public synchronized void close() {
		this.process.kill();
		this.storePath.close();
	}

}
