package org.tallycart.core.replication;

import java.util.List;

/**
 * One accepted change, as the manifest's history records it.
 *
 * @param version the version the change made
 * @param id the change's id, chosen by its author's tool
 * @param author who made it
 * @param manifest digest of the manifest's parts, kept under that name in the store
 * @param sections the declarations it touched
 * @since 0.1
 */
public record ManifestChange(long version, String id, String author, String manifest, List<String> sections) {

	private static final String SECTION_SEPARATOR = ",";

	private static final int FIELDS = 5;

	String encode() {
		return "change\t" + this.version + "\t" + this.id + "\t" + this.author + "\t" + this.manifest + "\t"
				+ String.join(SECTION_SEPARATOR, this.sections);
	}

	static ManifestChange decode(String[] fields) {
		List<String> sections = (fields.length > FIELDS) ? List.of(fields[FIELDS].split(SECTION_SEPARATOR)) : List.of();
		return new ManifestChange(Long.parseLong(fields[1]), fields[2], fields[3], fields[4], sections);
	}

}
