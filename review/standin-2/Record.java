import java.io.*;
import java.nio.file.*;

/** What was sent, answered and run, with the time since the start, in record.txt. */
final class Record {

	private static PrintWriter out;

	private static final long START = System.nanoTime();

	private Record() {
	}

	static void open(Path file) throws IOException {
		out = new PrintWriter(Files.newBufferedWriter(file), true);
	}

	static long nowMs() {
		return (System.nanoTime() - START) / 1_000_000;
	}

	static synchronized void line(String text) {
		String line = String.format("%7d ms  %s", nowMs(), text);
		out.println(line);
		System.out.println(line);
	}

}
