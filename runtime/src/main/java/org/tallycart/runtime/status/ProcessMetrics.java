package org.tallycart.runtime.status;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.sun.management.OperatingSystemMXBean;

/**
 * Metrics of the process itself.
 * <p>
 * Thread-safe: holds no state.
 *
 * @since 0.1
 */
final class ProcessMetrics {

	private static final Path RESIDENT = Path.of("/proc/self/statm");

	private static final long PAGE_BYTES = 4096;

	private ProcessMetrics() {
	}

	static void register(MetricRegistry metrics) {
		OperatingSystemMXBean system = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
		metrics.register("process.cpu_ns", (Gauge<Long>) system::getProcessCpuTime);
		metrics.register("process.uptime_ms", (Gauge<Long>) ManagementFactory.getRuntimeMXBean()::getUptime);
		metrics.register("process.heap_used_bytes",
				(Gauge<Long>) () -> ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
		metrics.register("process.resident_bytes", (Gauge<Long>) ProcessMetrics::residentBytes);
		metrics.register("process.threads", (Gauge<Integer>) ManagementFactory.getThreadMXBean()::getThreadCount);
	}

	private static long residentBytes() {
		try {
			return Long.parseLong(Files.readString(RESIDENT).split(" ")[1]) * PAGE_BYTES;
		}
		catch (IOException | NumberFormatException ex) {
			return -1;
		}
	}

}
