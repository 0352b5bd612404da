package org.tallycart.core.ini;

import java.util.Map;
import java.util.SortedMap;

/**
 * A section of an INI text.
 * <p>
 * Immutable and thread-safe.
 *
 * @param file file that contains the section
 * @param name name between the brackets
 * @param line line of the section header
 * @param values values by key
 * @param lines lines of the keys
 * @since 0.1
 */
public record IniSection(String file, String name, int line, SortedMap<String, String> values,
		Map<String, Integer> lines) {

	/**
	 * Return the first word of the name, in sections named {@code [kind name]}.
	 * @return the kind
	 */
	public String kind() {
		int space = this.name.indexOf(' ');
		return (space > 0) ? this.name.substring(0, space) : this.name;
	}

	/**
	 * Return the rest of the name after its first word.
	 * @return the rest, or an empty string if there is none
	 */
	public String id() {
		int space = this.name.indexOf(' ');
		return (space > 0) ? this.name.substring(space + 1).trim() : "";
	}

	/**
	 * Return the section as canonical text: keys sorted, one space around each equals
	 * sign.
	 * @return the text
	 */
	public String canonical() {
		StringBuilder text = new StringBuilder("[").append(this.name).append("]\n");
		this.values.forEach((key, value) -> text.append(key).append(" = ").append(value).append('\n'));
		return text.toString();
	}

}
