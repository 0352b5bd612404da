package org.tallycart.http.event;

import org.apache.hc.core5.http.HttpRequest;
import org.tallycart.core.ini.Address;

/**
 * One call of an upstream or of the platform's service.
 * <p>
 * Immutable, given that the head and body are not changed.
 *
 * @param poolName which connections may carry it; connections are not shared between
 * pools
 * @param address where to
 * @param head the request's head, without framing fields
 * @param body the request's body
 * @param connectTimeoutMs how long a new connection may take, in milliseconds
 * @param reuseConnection whether a kept connection may carry it
 * @since 0.1
 */
public record ClientRequest(String poolName, Address address, HttpRequest head, byte[] body, int connectTimeoutMs,
		boolean reuseConnection) {

	/**
	 * Begin to describe a call.
	 * @param pool which connections may carry it
	 * @param address where to
	 * @param head the request's head
	 * @return a builder
	 */
	public static Builder builder(String pool, Address address, HttpRequest head) {
		return new Builder(pool, address, head);
	}

	/**
	 * Builds a call. Not thread-safe.
	 */
	public static final class Builder {

		private static final int DEFAULT_CONNECT_TIMEOUT_MS = 500;

		private final String pool;

		private final Address address;

		private final HttpRequest head;

		private byte[] body = new byte[0];

		private int connectTimeoutMs = DEFAULT_CONNECT_TIMEOUT_MS;

		private boolean reuse = true;

		private Builder(String pool, Address address, HttpRequest head) {
			this.pool = pool;
			this.address = address;
			this.head = head;
		}

		/**
		 * Set the body.
		 * @param bytes the body
		 * @return this builder
		 */
		public Builder body(byte[] bytes) {
			this.body = bytes;
			return this;
		}

		/**
		 * Set how long a new connection may take.
		 * @param timeoutMs milliseconds; 500 if not set
		 * @return this builder
		 */
		public Builder connectTimeoutMs(int timeoutMs) {
			this.connectTimeoutMs = timeoutMs;
			return this;
		}

		/**
		 * Ask for a new connection.
		 * @return this builder
		 */
		public Builder requireNewConnection() {
			this.reuse = false;
			return this;
		}

		/**
		 * Build the call.
		 * @return the call
		 */
		public ClientRequest build() {
			return new ClientRequest(this.pool, this.address, this.head, this.body, this.connectTimeoutMs, this.reuse);
		}

	}

}
