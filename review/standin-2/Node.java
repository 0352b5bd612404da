import java.io.*;
import java.net.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;

/** A tallycart-node, started by the run line of the deploy file, on a loopback address of its own. */
final class Node {

	static final List<Node> ALL = new CopyOnWriteArrayList<>();

	static {
		Runtime.getRuntime().addShutdownHook(new Thread(() -> ALL.forEach((node) -> node.process.destroyForcibly())));
	}

	final String ip;

	final int front;

	final int ready;

	final Process process;

	private final Path settings;

	private Node(String ip, int front, int ready, Process process, Path settings) {
		this.ip = ip;
		this.front = front;
		this.ready = ready;
		this.process = process;
		this.settings = settings;
	}

	/** A loopback address that nobody else is likely to use. */
	static String loopback() {
		Random random = new Random();
		return "127." + (10 + random.nextInt(200)) + "." + random.nextInt(250) + "." + (2 + random.nextInt(250));
	}

	static Node start(String name, String zone, String ip, Store store, Path root, Path dir) throws Exception {
		int[] ports = new int[4];
		ServerSocket[] held = new ServerSocket[4];
		for (int i = 0; i < 4; i++) {
			held[i] = new ServerSocket();
			held[i].bind(new InetSocketAddress(ip, 0));
			ports[i] = held[i].getLocalPort();
		}
		for (ServerSocket socket : held) {
			socket.close();
		}
		Path file = dir.resolve(name + ".conf");
		Files.writeString(file, String.join("\n", List.of("node=" + name, "role=node", "machine_class=front",
				"serves=front,control", "ip=" + ip, "zone=" + zone, "region=bogota", "zones.usaquen=bogota",
				"zones.chapinero=bogota", "listen.front=" + ip + ":" + ports[0], "listen.ready=" + ip + ":" + ports[1],
				"listen.control=" + ip + ":" + ports[2], "port_range=" + ports[3] + "," + (ports[3] + 15),
				"seeds=" + ip + ":" + ports[2], "bootstrap=true", "counts_as_loss=false", "limits.cpu_share=0.75",
				"limits.cores=1", "limits.memory_mb=430", "limits.max_fds=4100", "limits.link_mbps=1000.0",
				"limits.disk_mb=0", "discovery=platform", "entry=vip", "heartbeat_ms=1200",
				"contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,stages",
				"tolerate.machines=2", "tolerate.zones=0", "tolerate.regions=0", "bounds.seed_lag_s=3",
				"bounds.reuse_after_s=2", "bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.catch_up_s=4",
				"bounds.drain_ms=2000", "bounds.grace_s=8", "bounds.lost_slack_ms=200", "bounds.config_apply_ms=2000",
				"bounds.rollback_slack_ms=250", "bounds.skew_max_ms=5000", "bounds.strict_revoke=false",
				"bounds.revoke_ms=5000", "bounds.retry_ratio=0.2", "bounds.retry_window_s=10", "bounds.retry_slack=52",
				"bounds.recovery_s=12", "bounds.pass_ms=120", "bounds.reuse_window_s=9.6",
				"platform.address=" + store.address, "platform.form=objects", "platform.writes_per_s=400",
				"platform.reads_per_s=2000", "platform.history_s=20", "platform.value_bytes=1048576",
				"platform.ttl_min_ms=1000")) + "\n");
		String run = "";
		for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
			if (line.startsWith("run = ")) {
				run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
			}
		}
		ProcessBuilder builder = new ProcessBuilder(run.split(" ")).directory(root.toFile()).redirectErrorStream(true);
		builder.environment().keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
		builder.environment().put("TALLYCART_CONFIG", file.toString());
		builder.redirectOutput(dir.resolve(name + ".log").toFile());
		Node node = new Node(ip, ports[0], ports[1], builder.start(), file);
		ALL.add(node);
		Record.line("started " + name + " on " + ip + ", pid " + node.process.pid());
		return node;
	}

	boolean isReady() {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(this.ip, this.ready), 300);
			socket.setSoTimeout(500);
			socket.getOutputStream().write("GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes());
			String first = Wire.line(socket.getInputStream());
			return first != null && first.contains(" 200");
		}
		catch (IOException ex) {
			return false;
		}
	}

	void awaitReady() throws Exception {
		long end = Record.nowMs() + 20_000;
		while (!isReady()) {
			if (Record.nowMs() > end || !this.process.isAlive()) {
				throw new IllegalStateException("the node did not become ready");
			}
			Thread.sleep(100);
		}
	}

	void signal(String name) throws Exception {
		Record.line("SIG" + name + " to pid " + this.process.pid());
		new ProcessBuilder("kill", "-" + name, String.valueOf(this.process.pid())).inheritIO().start().waitFor();
	}

	/** Memory of the process in MB as the kernel counts it, its peak. */
	long peakMb() {
		try {
			for (String line : Files.readAllLines(Path.of("/proc/" + this.process.pid() + "/status"))) {
				if (line.startsWith("VmHWM:")) {
					return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024;
				}
			}
		}
		catch (IOException ex) {
			// The process has ended.
		}
		return -1;
	}

	static void endAll() {
		for (Node node : ALL) {
			node.process.destroyForcibly();
			try {
				node.process.waitFor(5, TimeUnit.SECONDS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
	}

}
