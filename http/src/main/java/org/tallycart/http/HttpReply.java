package org.tallycart.http;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

/**
 * Reply with its full body.
 *
 * @param status the status code
 * @param fields the header fields
 * @param body the body bytes
 * @param framed whether the length of the body, or its chunks, prove that it is whole; if
 * not, it ended with the connection
 * @since 0.1
 */
public record HttpReply(int status, List<HttpField> fields, byte[] body, boolean framed) {

	/**
	 * Return the value of the first header field with a name.
	 * @param name the field name, case-insensitive
	 * @return the value, or empty if the field is absent
	 */
	public Optional<String> field(String name) {
		return this.fields.stream()
			.filter((field) -> field.name().equalsIgnoreCase(name))
			.map(HttpField::value)
			.findFirst();
	}

	/**
	 * Return the body decoded as UTF-8.
	 * @return the text
	 */
	public String text() {
		return new String(this.body, StandardCharsets.UTF_8);
	}

	/**
	 * Return whether the status code means success.
	 * @return true for 200 to 299
	 */
	public boolean isSuccess() {
		return this.status / 100 == 2;
	}

}
