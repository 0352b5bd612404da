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
 * Process of a local fleet, which can be stopped, killed, suspended and resumed. It is
 * killed when this JVM shuts down.
 * <p>
 * Not thread-safe.
 *
 * @since 0.1
 */
public final class ManagedProcess {

	private static final String STARTED_PREFIX = "STARTED ";

	private static final long TIMEOUT_SECONDS = 60;

	private static final long LOG_POLL_MS = 20;

	private final Process process;

	private final Map<String, Integer> ports;

	private ManagedProcess(Process process, Map<String, Integer> ports) {
		this.process = process;
		this.ports = ports;
	}

	/**
	 * Start a process and wait until it prints a line with {@code STARTED} and its ports.
	 * @param mainClass the main class
	 * @param config the settings file
	 * @param log file to which standard error is appended
	 * @param jvmOptions options of the JVM
	 * @return the process
	 * @throws IOException if the process ends before it prints the line
	 */
	public static ManagedProcess start(String mainClass, Path config, Path log, List<String> jvmOptions)
			throws IOException {
		List<String> options = new ArrayList<>(List.of("-XX:+UseSerialGC", "-Xss512k"));
		options.addAll(jvmOptions);
		Process process = launch(jvmCommand(mainClass, List.of("--config", config.toString()), options)
			.redirectError(ProcessBuilder.Redirect.appendTo(log.toFile())));
		BufferedReader out = new BufferedReader(
				new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
		String line = out.readLine();
		while (line != null && !line.startsWith(STARTED_PREFIX)) {
			line = out.readLine();
		}
		if (line == null) {
			throw new IOException(mainClass + " did not start; see " + log);
		}
		return new ManagedProcess(process, parsePorts(line));
	}

	/**
	 * Start a process and wait until its log states the ports on which it listens.
	 * @param mainClass the main class
	 * @param arguments the program's arguments
	 * @param log file for standard output and standard error
	 * @param jvmOptions options of the JVM
	 * @param portParser returns the ports by name that a log line states, or an empty map
	 * @return the process
	 * @throws IOException if the process ends or times out before it states its ports
	 */
	public static ManagedProcess start(String mainClass, List<String> arguments, Path log, List<String> jvmOptions,
			Function<String, Map<String, Integer>> portParser) throws IOException {
		Process process = launch(
				jvmCommand(mainClass, arguments, jvmOptions).redirectErrorStream(true).redirectOutput(log.toFile()));
		long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
		while (process.isAlive() && System.nanoTime() < deadlineNs) {
			for (String line : Files.readAllLines(log)) {
				Map<String, Integer> ports = portParser.apply(line);
				if (!ports.isEmpty()) {
					return new ManagedProcess(process, ports);
				}
			}
			pause();
		}
		process.destroyForcibly();
		throw new IOException(mainClass + " did not start; see " + log);
	}

	private static ProcessBuilder jvmCommand(String mainClass, List<String> arguments, List<String> jvmOptions) {
		List<String> command = new ArrayList<>();
		command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
		command.addAll(jvmOptions);
		command.addAll(List.of("-cp", System.getProperty("java.class.path"), mainClass));
		command.addAll(arguments);
		return new ProcessBuilder(command);
	}

	private static Process launch(ProcessBuilder builder) throws IOException {
		Process process = builder.start();
		// Prevents orphan processes when this JVM is interrupted.
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

	private static Map<String, Integer> parsePorts(String line) {
		Map<String, Integer> ports = new HashMap<>();
		for (String word : line.substring(STARTED_PREFIX.length()).split(" ")) {
			String[] parts = word.split("=");
			ports.put(parts[0], Integer.valueOf(parts[1]));
		}
		return ports;
	}

	/**
	 * Return the loopback address of a port of the process.
	 * @param name name of the port
	 * @return the address
	 * @throws IllegalArgumentException if the process has no port of that name
	 */
	public Address address(String name) {
		Integer port = this.ports.get(name);
		if (port == null) {
			throw new IllegalArgumentException("unknown port '" + name + "', expected one of " + this.ports.keySet());
		}
		return new Address("127.0.0.1", port);
	}

	/**
	 * Kill the process and wait until it has exited.
	 */
	public void kill() {
		this.process.destroyForcibly();
		awaitExit();
	}

	/**
	 * Request an orderly stop and wait until the process has exited.
	 * @return true if it exited before the timeout
	 */
	public boolean stop() {
		this.process.destroy();
		return awaitExit();
	}

	/**
	 * Request an orderly stop, without waiting.
	 */
	public void requestStop() {
		this.process.destroy();
	}

	/**
	 * Wait until the process has exited.
	 * @return true if it exited before the timeout; false also if interrupted
	 */
	public boolean awaitExit() {
		try {
			return this.process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

	/**
	 * Suspend the process with SIGSTOP.
	 */
	public void suspend() {
		signal("-STOP");
	}

	/**
	 * Resume the process with SIGCONT.
	 */
	public void resume() {
		signal("-CONT");
	}

	private void signal(String name) {
		try {
			new ProcessBuilder("kill", name, Long.toString(this.process.pid())).start().waitFor();
		}
		catch (IOException ex) {
			throw new IllegalStateException("cannot send the signal", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Return whether the process is running.
	 * @return true if it has not exited
	 */
	public boolean isAlive() {
		return this.process.isAlive();
	}

	/**
	 * Return the operating system's process id.
	 * @return the id
	 */
	public long pid() {
		return this.process.pid();
	}

}
