package org.tallycart.http;

import java.util.ArrayList;
import java.util.List;

/**
 * Request of a blocking call. Immutable and thread-safe.
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
	 * Create a builder of a GET call without a body.
	 * @param path the path, with the query if any
	 * @return a builder
	 */
	public static Builder get(String path) {
		return new Builder("GET", path);
	}

	/**
	 * Create a builder of a POST call with a JSON body.
	 * @param path the path, with the query if any
	 * @param body the body bytes
	 * @return a builder
	 */
	public static Builder post(String path, byte[] body) {
		return new Builder("POST", path).body(body);
	}

	/**
	 * Create a builder of a PUT call with a JSON body.
	 * @param path the path, with the query if any
	 * @param body the body bytes
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
	 * Builder of {@link HttpCall}. Not thread-safe.
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
		 * @param name the field name
		 * @param value the field value
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
