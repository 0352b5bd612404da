import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Record of a run, in record.txt of the case's folder. */
final class Record implements AutoCloseable {

	private final PrintWriter out;

	private final long start = System.nanoTime();

	Record(Path file) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(file));
	}

	long ms() {
		return (System.nanoTime() - this.start) / 1_000_000;
	}

	synchronized void line(String text) {
		this.out.printf("%8.3f %s%n", ms() / 1000.0, text);
		this.out.flush();
	}

	@Override
	public void close() {
		this.out.close();
	}

}
