package org.tallycart.ctl;

import java.util.Locale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import picocli.CommandLine.Option;

/**
 * How a command's result is printed.
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

	boolean json() {
		return this.format == Format.JSON;
	}

	void print(JsonNode node) {
		System.out.println(node.toPrettyString());
	}

	int result(ApplyResult result, int exitCode) {
		if (json()) {
			ObjectNode node = JSON.createObjectNode()
				.put("status", result.status().name())
				.put("version", result.version());
			result.lines().forEach(node.putArray("lines")::add);
			print(node);
		}
		else {
			System.out.println(result.status().name().toLowerCase(Locale.ROOT).replace('_', ' '));
			result.lines().forEach(System.out::println);
		}
		return exitCode;
	}

	/** Forms of output. */
	enum Format {

		/** For people. */
		TEXT,
		/** For scripts. */
		JSON

	}

}
