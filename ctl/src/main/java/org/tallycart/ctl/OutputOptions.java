package org.tallycart.ctl;

import java.util.Locale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import picocli.CommandLine.Option;

/**
 * Option for the output format, and printing in that format.
 * <p>
 * Not thread-safe.
 *
 * @since 0.1
 */
final class OutputOptions {

	private static final ObjectMapper JSON = new ObjectMapper();

	@Option(names = "--output", paramLabel = "FORMAT", defaultValue = "TEXT",
			description = "text or json. Default: ${DEFAULT-VALUE}")
	private Format format = Format.TEXT;

	boolean isJson() {
		return this.format == Format.JSON;
	}

	void printJson(JsonNode node) {
		System.out.println(node.toPrettyString());
	}

	int printResult(ApplyResult result, int exitCode) {
		if (isJson()) {
			ObjectNode node = JSON.createObjectNode()
				.put("status", result.status().name())
				.put("version", result.version());
			result.lines().forEach(node.putArray("lines")::add);
			printJson(node);
		}
		else {
			System.out.println(result.status().name().toLowerCase(Locale.ROOT).replace('_', ' '));
			result.lines().forEach(System.out::println);
		}
		return exitCode;
	}

	/** Output formats. */
	enum Format {

		/** Plain text. */
		TEXT,
		/** JSON, for scripts. */
		JSON

	}

}
