package org.tallycart.runtime.settings;

import java.util.List;

import org.tallycart.core.ini.Problem;
import org.tallycart.core.ini.SectionReader;

/**
 * Settings of the section {@code [vm]}: the identity and location of this VM.
 *
 * @param id the ID of the VM in the platform's VM list
 * @param domain the failure domain of the VM
 * @since 0.1
 */
public record VmSettings(String id, String domain) {

	/**
	 * Read the section.
	 * @param file the settings file
	 * @param problems the list to which problems are added
	 * @return the settings of the section
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
