package org.tallycart.node.log;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Configures logging to standard output through a bounded queue, so that a slow reader
 * never blocks the event loop.
 * <p>
 * Thread-safe: called once, at start.
 *
 * @since 0.1
 */
public final class NodeLogging {

	private static final String PATTERN = "ts=%d{yyyy-MM-dd'T'HH:mm:ss.SSSX, UTC} level=%level %msg%n";

	/**
	 * Capacity of the queue, in lines; about a megabyte. Further lines are dropped.
	 */
	private static final int QUEUE_CAPACITY_LINES = 4_096;

	private NodeLogging() {
	}

	/**
	 * Configure logging.
	 * @param level the lowest level that is logged, such as {@code INFO}
	 */
	public static void configure(String level) {
		LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
		context.reset();
		PatternLayoutEncoder encoder = new PatternLayoutEncoder();
		encoder.setContext(context);
		encoder.setPattern(PATTERN);
		encoder.start();
		ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
		console.setContext(context);
		console.setTarget("System.out");
		console.setEncoder(encoder);
		console.start();
		AsyncAppender async = new AsyncAppender();
		async.setContext(context);
		async.setQueueSize(QUEUE_CAPACITY_LINES);
		async.setDiscardingThreshold(0);
		async.setNeverBlock(true);
		async.addAppender(console);
		async.start();
		ch.qos.logback.classic.Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
		root.setLevel(Level.WARN);
		root.addAppender(async);
		context.getLogger(NodeLog.LOGGER_NAME).setLevel(Level.toLevel(level));
	}

	/**
	 * Write all queued lines and stop logging. To be called just before the process ends.
	 */
	public static void flush() {
		((LoggerContext) LoggerFactory.getILoggerFactory()).stop();
	}

}
