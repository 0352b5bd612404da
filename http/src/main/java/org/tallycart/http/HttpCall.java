package org.tallycart.http;

import java.util.ArrayList;
import java.util.List;

/**
 * A call to make. Immutable and thread-safe.
 *
 * @since 0.1
 */
public final class HttpCall {

	private final String method;

	private final String path;

	private final List<HttpField> fields;

	private final byte[] body;

	private HttpCall(Builder builder) {
		this.method = builder.method;
		this.path = builder.path;
		this.fields = List.copyOf(builder.fields);
		this.body = builder.body;
	}

	/**
	 * Begin a call without a body.
	 * @param path the path with its query
	 * @return a builder
	 */
	public static Builder get(String path) {
		return new Builder("GET", path);
	}

	/**
	 * Begin a call with a body of JSON.
	 * @param path the path with its query
	 * @param body the body
	 * @return a builder
	 */
	public static Builder post(String path, byte[] body) {
		return new Builder("POST", path).body(body);
	}

	/**
	 * Begin a call that puts a value.
	 * @param path the path with its query
	 * @param body the body
	 * @return a builder
	 */
	public static Builder put(String path, byte[] body) {
		return new Builder("PUT", path).body(body);
	}

	String method() {
		return this.method;
	}

	String path() {
		return this.path;
	}

	List<HttpField> fields() {
		return this.fields;
	}

	byte[] body() {
		return this.body;
	}

	/**
	 * Builds a call. Not thread-safe.
	 */
	public static final class Builder {

		private final String method;

		private final String path;

		private final List<HttpField> fields = new ArrayList<>();

		private byte[] body = {};

		private Builder(String method, String path) {
			this.method = method;
			this.path = path;
		}

		private Builder body(byte[] bytes) {
			this.body = bytes;
			return this;
		}

		/**
		 * Add a header field.
		 * @param name its name
		 * @param value its value
		 * @return this builder
		 */
		public Builder field(String name, String value) {
			this.fields.add(new HttpField(name, value));
			return this;
		}

		/**
		 * Build the call.
		 * @return the call
		 */
		public HttpCall build() {
			return new HttpCall(this);
		}

	}

}
