package org.tallycart.http;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

/**
 * A whole answer.
 *
 * @param status the status code
 * @param fields its header fields
 * @param body its body
 * @since 0.1
 */
public record HttpReply(int status, List<HttpField> fields, byte[] body) {

	/**
	 * Return a header field's value.
	 * @param name the field's name, in any case
	 * @return the value, or empty
	 */
	public Optional<String> field(String name) {
		return this.fields.stream()
			.filter((field) -> field.name().equalsIgnoreCase(name))
			.map(HttpField::value)
			.findFirst();
	}

	/**
	 * Return the body as text in UTF-8.
	 * @return the text
	 */
	public String text() {
		return new String(this.body, StandardCharsets.UTF_8);
	}

	/**
	 * Return whether the status is one of success.
	 * @return true for 200 to 299
	 */
	public boolean isSuccess() {
		return this.status / 100 == 2;
	}

}
