package org.tallycart.core.ini;

import io.vavr.control.Either;

/**
 * A host, as an IP address or name, and a port.
 * <p>
 * Immutable and thread-safe.
 *
 * @param host the host
 * @param port the port; 0 selects a free port
 * @since 0.1
 */
public record Address(String host, int port) {

	private static final int MAX_PORT = 65535;

	/**
	 * Parse an address.
	 * @param text {@code host:port}
	 * @return the address, or an error message
	 */
	public static Either<String, Address> parse(String text) {
		int colon = text.lastIndexOf(':');
		if (colon <= 0) {
			return Either.left("is not an address");
		}
		try {
			int port = Integer.parseInt(text.substring(colon + 1));
			if (port < 0 || port > MAX_PORT) {
				return Either.left("has a port out of bounds");
			}
			return Either.right(new Address(text.substring(0, colon), port));
		}
		catch (NumberFormatException ex) {
			return Either.left("has a port that is not a number");
		}
	}

	@Override
	public String toString() {
		return this.host + ":" + this.port;
	}

}
