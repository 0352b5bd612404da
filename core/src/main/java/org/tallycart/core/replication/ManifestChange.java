package org.tallycart.core.replication;

import java.util.List;

/**
 * An accepted change, as recorded in the history of the manifest.
 *
 * @param version version created by the change
 * @param id id of the change, assigned by the author's tool
 * @param author author of the change
 * @param manifest digest of the parts of the manifest, which are stored under this name
 * @param sections names of the declarations that it modified
 * @since 0.1
 */
public record ManifestChange(long version, String id, String author, String manifest, List<String> sections) {

	private static final String SECTION_SEPARATOR = ",";

	private static final int SECTIONS_FIELD = 5;

	String encode() {
		return "change\t" + this.version + "\t" + this.id + "\t" + this.author + "\t" + this.manifest + "\t"
				+ String.join(SECTION_SEPARATOR, this.sections);
	}

	static ManifestChange decode(String[] fields) {
		List<String> sections = (fields.length > SECTIONS_FIELD)
				? List.of(fields[SECTIONS_FIELD].split(SECTION_SEPARATOR)) : List.of();
		return new ManifestChange(Long.parseLong(fields[1]), fields[2], fields[3], fields[4], sections);
	}

}
