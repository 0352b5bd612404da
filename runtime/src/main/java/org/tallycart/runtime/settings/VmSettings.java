package org.tallycart.runtime.settings;

import java.util.List;

import org.tallycart.core.ini.Problem;
import org.tallycart.core.ini.SectionReader;

/**
 * The section {@code [vm]}: who and where this VM is.
 *
 * @param id the VM, as the platform's list names it
 * @param domain its failure domain
 * @since 0.1
 */
public record VmSettings(String id, String domain) {

	/**
	 * Read the section.
	 * @param file the settings
	 * @param problems where problems are added
	 * @return what it says
	 */
	public static VmSettings read(SettingsFile file, List<Problem> problems) {
		SectionReader reader = file.section("vm", problems);
		VmSettings settings = new VmSettings(reader.text("id"), reader.text("domain"));
		if (settings.id().contains(" ")) {
			reader.problem("id", "holds a blank", "");
		}
		reader.reportUnknownKeys();
		return settings;
	}

}
