package org.tallycart.http.event;

import java.util.function.Predicate;

import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.tallycart.core.ini.Address;

/**
 * Request to an upstream or to the service of the platform, with its connection options.
 * <p>
 * Not changed by this class; the head and the body are not copied.
 *
 * @param poolName the name of the connection pool; pools do not share connections
 * @param address the address of the peer
 * @param head the request head, without framing fields
 * @param body the request body
 * @param connectTimeoutMs the connect timeout, in milliseconds
 * @param reuseConnection whether a pooled connection may be used
 * @param replyCheck tells from its head whether a reply answers this request; used by
 * {@link FullReplyCall}
 * @since 0.1
 */
public record ClientRequest(String poolName, Address address, HttpRequest head, byte[] body, int connectTimeoutMs,
		boolean reuseConnection, Predicate<HttpResponse> replyCheck) {

	/**
	 * Create a builder.
	 * @param poolName the name of the connection pool
	 * @param address the address of the peer
	 * @param head the request head, without framing fields
	 * @return a builder
	 */
	public static Builder builder(String poolName, Address address, HttpRequest head) {
		return new Builder(poolName, address, head);
	}

	/**
	 * Builder of {@link ClientRequest}. Not thread-safe.
	 */
	public static final class Builder {

		private static final int DEFAULT_CONNECT_TIMEOUT_MS = 500;

		private final String poolName;

		private final Address address;

		private final HttpRequest head;

		private byte[] body = new byte[0];

		private int connectTimeoutMs = DEFAULT_CONNECT_TIMEOUT_MS;

		private boolean reuseConnection = true;

		private Predicate<HttpResponse> replyCheck = (reply) -> true;

		private Builder(String poolName, Address address, HttpRequest head) {
			this.poolName = poolName;
			this.address = address;
			this.head = head;
		}

		/**
		 * Set the body.
		 * @param bytes the request body
		 * @return this builder
		 */
		public Builder body(byte[] bytes) {
			this.body = bytes;
			return this;
		}

		/**
		 * Set the connect timeout.
		 * @param timeoutMs the timeout, in milliseconds; 500 by default
		 * @return this builder
		 */
		public Builder connectTimeoutMs(int timeoutMs) {
			this.connectTimeoutMs = timeoutMs;
			return this;
		}

		/**
		 * Require a new connection instead of a pooled one.
		 * @return this builder
		 */
		public Builder requireNewConnection() {
			this.reuseConnection = false;
			return this;
		}

		/**
		 * Set how a reply to this request is told from a late one to another request.
		 * @param check tells from the head of a reply whether it answers this request;
		 * accepts all by default
		 * @return this builder
		 */
		public Builder replyCheck(Predicate<HttpResponse> check) {
			this.replyCheck = check;
			return this;
		}

		/**
		 * Build the request.
		 * @return the request
		 */
		public ClientRequest build() {
			return new ClientRequest(this.poolName, this.address, this.head, this.body, this.connectTimeoutMs,
					this.reuseConnection, this.replyCheck);
		}

	}

}
