import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A serving process, started with the run line of the deploy file. */
final class NodeProcess implements AutoCloseable {

	private static final int METRICS_PORT = 9464;

	private static final Random RANDOM = new Random();

	final String name;

	final String ip;

	final int front;

	final int ready;

	final Path settings;

	final Path log;

	private final String extra;

	Process process;

	NodeProcess(Path folder, String name, String ip, String zone, String store, String extra) throws IOException {
		this.name = name;
		this.ip = ip;
		this.front = freePort(ip);
		this.ready = freePort(ip);
		int control = freePort(ip);
		int peers = freePort(ip);
		this.extra = extra;
		this.settings = folder.resolve(name + ".conf");
		this.log = folder.resolve(name + ".log");
		Files.writeString(this.settings, """
				node=%1$s
				role=node
				machine_class=front
				serves=front,control
				ip=%2$s
				zone=%3$s
				region=bogota
				zones.%3$s=bogota
				listen.front=%2$s:%4$d
				listen.ready=%2$s:%5$d
				listen.control=%2$s:%6$d
				port_range=%7$d,%7$d
				seeds=%2$s:%6$d
				bootstrap=true
				counts_as_loss=false
				limits.cpu_share=0.75
				limits.cores=1
				limits.memory_mb=430
				limits.max_fds=4100
				limits.link_mbps=1000.0
				limits.disk_mb=0
				discovery=platform
				entry=vip
				heartbeat_ms=1200
				contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,stages
				tolerate.machines=2
				tolerate.zones=0
				tolerate.regions=0
				bounds.seed_lag_s=3
				bounds.reuse_after_s=2
				bounds.contact_ms=3000
				bounds.ack_ms=4000
				bounds.catch_up_s=4
				bounds.drain_ms=2000
				bounds.grace_s=8
				bounds.lost_slack_ms=200
				bounds.config_apply_ms=2000
				bounds.rollback_slack_ms=250
				bounds.skew_max_ms=5000
				bounds.strict_revoke=false
				bounds.revoke_ms=5000
				bounds.retry_ratio=0.2
				bounds.retry_window_s=10
				bounds.retry_slack=52
				bounds.recovery_s=12
				bounds.pass_ms=120
				bounds.reuse_window_s=9.6
				platform.address=%8$s
				platform.form=objects
				platform.writes_per_s=400
				platform.reads_per_s=2000
				platform.history_s=20
				platform.value_bytes=1048576
				platform.ttl_min_ms=1000
				""".formatted(name, ip, zone, this.front, this.ready, control, peers, store) + extra);
		start();
	}

	/** Returns a loopback address on which the port of the metrics is free, too. */
	static String freeAddress() throws IOException {
		for (int i = 0; i < 100; i++) {
			String ip = "127." + (1 + RANDOM.nextInt(250)) + "." + RANDOM.nextInt(250) + "." + (2 + RANDOM.nextInt(250));
			try (ServerSocket s = new ServerSocket(METRICS_PORT, 1, InetAddress.getByName(ip))) {
				return ip;
			}
			catch (IOException ex) {
				// Another process uses the port on all addresses; tries another one.
			}
		}
		throw new IOException("the port of the metrics is in use");
	}

	static int freePort(String ip) throws IOException {
		try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
			return s.getLocalPort();
		}
	}

	void start() throws IOException {
		Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
		if (!run.find()) {
			throw new IOException("the deploy file has no run line");
		}
		List<String> command = new ArrayList<>(List.of(run.group(1).split(" ")));
		ProcessBuilder builder = new ProcessBuilder(command);
		builder.environment().put("TALLYCART_CONFIG", this.settings.toString());
		builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(this.log.toFile()));
		builder.redirectInput(new File("/dev/null"));
		Process started = builder.start();
		this.process = started;
		Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
	}

	boolean isReady() {
		try (Socket s = new Socket(this.ip, this.ready)) {
			s.setSoTimeout(1000);
			Http.write(s, "GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n", new byte[0]);
			return Http.read(s.getInputStream(), true).status() == 200;
		}
		catch (Exception ex) {
			return false;
		}
	}

	void awaitReady() throws Exception {
		long end = System.nanoTime() + 20_000_000_000L;
		while (!isReady()) {
			if (System.nanoTime() > end) {
				throw new IOException(this.name + " is not ready");
			}
			Thread.sleep(50);
		}
	}

	void signal(String name) throws Exception {
		new ProcessBuilder("kill", "-" + name, String.valueOf(this.process.pid())).inheritIO().start().waitFor();
	}

	@Override
	public void close() throws Exception {
		this.process.destroyForcibly();
		this.process.waitFor(5, TimeUnit.SECONDS);
	}

}
