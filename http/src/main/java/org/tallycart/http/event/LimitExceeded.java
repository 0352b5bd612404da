package org.tallycart.http.event;

/**
 * What was received when a limit was exceeded.
 *
 * @param limit the limit
 * @param maximum the maximum, in bytes or as a number
 * @param received how much was received, at least
 * @since 0.1
 */
public record LimitExceeded(MessageLimit limit, long maximum, long received) {

	@Override
	public String toString() {
		return this.limit + ": received " + this.received + ", maximum " + this.maximum;
	}

}
