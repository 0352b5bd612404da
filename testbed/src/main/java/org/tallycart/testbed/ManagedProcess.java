package org.tallycart.testbed;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import org.tallycart.core.ini.Address;

/**
 * A process of a local fleet, which can be stopped, killed, frozen and woken.
 * <p>
 * Not thread-safe.
 *
 * @since 0.1
 */
public final class ManagedProcess {

	private static final String STARTED = "STARTED ";

	private static final long STOP_SECONDS = 60;

	private static final long LOG_POLL_MS = 20;

	private final Process process;

	private final Map<String, Integer> ports;

	private ManagedProcess(Process process, Map<String, Integer> ports) {
		this.process = process;
		this.ports = ports;
	}

	/**
	 * Start a process and wait until it listens.
	 * @param mainClass its main class
	 * @param config its settings
	 * @param log where its log goes
	 * @param jvmOptions options of its JVM
	 * @return the process
	 * @throws IOException if it does not start
	 */
	public static ManagedProcess start(String mainClass, Path config, Path log, List<String> jvmOptions)
			throws IOException {
		List<String> options = new ArrayList<>(List.of("-XX:+UseSerialGC", "-Xss512k"));
		options.addAll(jvmOptions);
		Process process = launch(jvm(mainClass, List.of("--config", config.toString()), options)
			.redirectError(ProcessBuilder.Redirect.appendTo(log.toFile())));
		BufferedReader out = new BufferedReader(
				new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
		String line = out.readLine();
		while (line != null && !line.startsWith(STARTED)) {
			line = out.readLine();
		}
		if (line == null) {
			throw new IOException(mainClass + " did not start; see " + log);
		}
		return new ManagedProcess(process, ports(line));
	}

	/**
	 * Start a process that tells in its log where it listens, and wait for that line.
	 * @param mainClass its main class
	 * @param arguments its arguments
	 * @param log where its output goes
	 * @param jvmOptions options of its JVM
	 * @param line finds the ports' names and numbers in a line of the log
	 * @return the process
	 * @throws IOException if it does not start
	 */
	public static ManagedProcess start(String mainClass, List<String> arguments, Path log, List<String> jvmOptions,
			Function<String, Map<String, Integer>> line) throws IOException {
		Process process = launch(
				jvm(mainClass, arguments, jvmOptions).redirectErrorStream(true).redirectOutput(log.toFile()));
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(STOP_SECONDS);
		while (process.isAlive() && System.nanoTime() < end) {
			for (String written : Files.readAllLines(log)) {
				Map<String, Integer> ports = line.apply(written);
				if (!ports.isEmpty()) {
					return new ManagedProcess(process, ports);
				}
			}
			pause();
		}
		process.destroyForcibly();
		throw new IOException(mainClass + " did not start; see " + log);
	}

	private static ProcessBuilder jvm(String mainClass, List<String> arguments, List<String> jvmOptions) {
		List<String> command = new ArrayList<>();
		command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
		command.addAll(jvmOptions);
		command.addAll(List.of("-cp", System.getProperty("java.class.path"), mainClass));
		command.addAll(arguments);
		return new ProcessBuilder(command);
	}

	private static Process launch(ProcessBuilder builder) throws IOException {
		Process process = builder.start();
		// A testbed that is interrupted leaves no process behind.
		Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly, "end-child"));
		return process;
	}

	private static void pause() {
		try {
			Thread.sleep(LOG_POLL_MS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static Map<String, Integer> ports(String line) {
		Map<String, Integer> ports = new HashMap<>();
		for (String word : line.substring(STARTED.length()).split(" ")) {
			String[] parts = word.split("=");
			ports.put(parts[0], Integer.valueOf(parts[1]));
		}
		return ports;
	}

	/**
	 * Return where the process listens.
	 * @param name name of the port
	 * @return the address
	 */
	public Address address(String name) {
		Integer port = this.ports.get(name);
		if (port == null) {
			throw new IllegalArgumentException("no port " + name + " among " + this.ports.keySet());
		}
		return new Address("127.0.0.1", port);
	}

	/**
	 * Kill the process at once.
	 */
	public void kill() {
		this.process.destroyForcibly();
		awaitExit();
	}

	/**
	 * Ask the process to stop, and wait until it has.
	 * @return whether it ended by itself in time
	 */
	public boolean stop() {
		this.process.destroy();
		return awaitExit();
	}

	/**
	 * Ask the process to stop, without waiting.
	 */
	public void requestStop() {
		this.process.destroy();
	}

	/**
	 * Wait until the process has ended.
	 * @return whether it ended in time
	 */
	public boolean awaitExit() {
		try {
			return this.process.waitFor(STOP_SECONDS, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

	/**
	 * Freeze the process.
	 */
	public void suspend() {
		signal("-STOP");
	}

	/**
	 * Wake the process after a freeze.
	 */
	public void resume() {
		signal("-CONT");
	}

	private void signal(String name) {
		try {
			new ProcessBuilder("kill", name, Long.toString(this.process.pid())).start().waitFor();
		}
		catch (IOException ex) {
			throw new IllegalStateException("no signal can be sent", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Return whether the process runs.
	 * @return true if it does
	 */
	public boolean isAlive() {
		return this.process.isAlive();
	}

	/**
	 * Return the process's id.
	 * @return the id
	 */
	public long pid() {
		return this.process.pid();
	}

}
