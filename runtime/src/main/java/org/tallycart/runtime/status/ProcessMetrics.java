package org.tallycart.runtime.status;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.sun.management.OperatingSystemMXBean;

/**
 * Metrics of the process: CPU time, uptime, memory and threads.
 * <p>
 * Thread-safe: holds no state.
 *
 * @since 0.1
 */
final class ProcessMetrics {

	private static final Path MEMORY_STATISTICS = Path.of("/proc/self/statm");

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
			return Long.parseLong(Files.readString(MEMORY_STATISTICS).split(" ")[1]) * PAGE_BYTES;
		}
		catch (IOException | NumberFormatException ex) {
			return -1;
		}
	}

}
