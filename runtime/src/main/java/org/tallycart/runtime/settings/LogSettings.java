package org.tallycart.runtime.settings;

import java.util.List;

import org.tallycart.core.ini.Problem;
import org.tallycart.core.ini.SectionReader;
import org.tallycart.runtime.event.Logging.LogFormat;
import org.tallycart.runtime.event.Logging.LogLevel;

/**
 * The section {@code [log]}.
 *
 * @param format how lines look
 * @param level the least level that is logged
 * @since 0.1
 */
public record LogSettings(LogFormat format, LogLevel level) {

	/**
	 * Read the section.
	 * @param file the settings
	 * @param problems where problems are added
	 * @return what it says
	 */
	public static LogSettings read(SettingsFile file, List<Problem> problems) {
		SectionReader reader = file.section("log", problems);
		LogSettings settings = new LogSettings(reader.enumValue("format", LogFormat.class, LogFormat.TEXT),
				reader.enumValue("level", LogLevel.class, LogLevel.INFO));
		reader.reportUnknownKeys();
		return settings;
	}

}
