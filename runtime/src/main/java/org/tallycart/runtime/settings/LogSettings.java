package org.tallycart.runtime.settings;

import java.util.List;

import org.tallycart.core.ini.Problem;
import org.tallycart.core.ini.SectionReader;
import org.tallycart.runtime.event.Logging.LogFormat;
import org.tallycart.runtime.event.Logging.LogLevel;

/**
 * Settings of the section {@code [log]}.
 *
 * @param format the format of log lines
 * @param level the minimum level that is logged
 * @since 0.1
 */
public record LogSettings(LogFormat format, LogLevel level) {

	/**
	 * Read the section. Keys that are missing take their defaults, {@code text} and
	 * {@code info}.
	 * @param file the settings file
	 * @param problems the list to which problems are added
	 * @return the settings of the section
	 */
	public static LogSettings read(SettingsFile file, List<Problem> problems) {
		SectionReader reader = file.section("log", problems);
		LogSettings settings = new LogSettings(reader.enumValue("format", LogFormat.class, LogFormat.TEXT),
				reader.enumValue("level", LogLevel.class, LogLevel.INFO));
		reader.reportUnknownKeys();
		return settings;
	}

}
