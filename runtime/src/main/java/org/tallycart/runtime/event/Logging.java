package org.tallycart.runtime.event;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Configures logging to standard error.
 * <p>
 * Holds no state; called once, at the start of the process.
 *
 * @since 0.1
 */
public final class Logging {

	private static final String PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSX, UTC} %-5level %msg%n%ex";

	private Logging() {
	}

	/**
	 * Configure logging, replacing any earlier configuration.
	 * @param format the format of log lines
	 * @param level the minimum level that is logged
	 */
	public static void configure(LogFormat format, LogLevel level) {
		LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
		context.reset();
		ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
		appender.setContext(context);
		appender.setTarget("System.err");
		appender.setEncoder(encoder(format, context));
		appender.start();
		ch.qos.logback.classic.Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
		root.setLevel(Level.WARN);
		root.addAppender(appender);
		context.getLogger("tallycart").setLevel(Level.toLevel(level.name()));
	}

	private static Encoder<ILoggingEvent> encoder(LogFormat format, LoggerContext context) {
		if (format == LogFormat.JSON) {
			JsonEncoder encoder = new JsonEncoder();
			encoder.setContext(context);
			encoder.start();
			return encoder;
		}
		PatternLayoutEncoder encoder = new PatternLayoutEncoder();
		encoder.setContext(context);
		encoder.setPattern(PATTERN);
		encoder.start();
		return encoder;
	}

	/** Format of log lines. */
	public enum LogFormat {

		/** Plain text. */
		TEXT,
		/** One JSON object per line. */
		JSON

	}

	/** Minimum level that is logged. */
	public enum LogLevel {

		/** Only errors. */
		ERROR,
		/** Warnings and errors. */
		WARN,
		/** Changes of state as well; the default. */
		INFO,
		/** Each request as well. */
		DEBUG

	}

}
