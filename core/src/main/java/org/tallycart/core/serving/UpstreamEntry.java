package org.tallycart.core.serving;

import java.util.OptionalLong;

import org.tallycart.core.ini.Address;

/**
 * One incarnation of an upstream, as listed by the platform.
 * <p>
 * An upstream may restart under the same name, so an incarnation is identified by name
 * and start time if the start time is known.
 *
 * @param id name of the upstream
 * @param startedMs start time in Unix milliseconds on the clock of the upstream; empty if
 * not reported
 * @param service the service that the upstream provides
 * @param softwareVersion version of the upstream's software, which is independent of the
 * version of its model weights
 * @param address listen address; may be reused by another upstream later
 * @param failureDomain failure domain of the upstream
 * @param slots maximum number of concurrent requests
 * @param draining whether the upstream has announced its shutdown
 * @param coldMs remaining cold start time when the entry was written, in milliseconds; 0
 * if the upstream is warm
 * @since 0.1
 */
public record UpstreamEntry(String id, OptionalLong startedMs, String service, String softwareVersion, Address address,
		String failureDomain, int slots, boolean draining, long coldMs) {

	/**
	 * Create a builder.
	 * @param id the name of the upstream
	 * @param service the service that the upstream provides
	 * @return a builder for a warm upstream with one slot that is not draining
	 */
	public static Builder builder(String id, String service) {
		return new Builder(id, service);
	}

	/**
	 * Return an id that is unique to this incarnation.
	 * @return the id
	 */
	public String incarnation() {
		return this.startedMs.isPresent() ? this.id + "@" + this.startedMs.getAsLong() : this.id;
	}

	/**
	 * Return whether this incarnation started after another one with the same name.
	 * @param other the other incarnation
	 * @return true if it did; false if either start time is unknown
	 */
	public boolean startedAfter(UpstreamEntry other) {
		return this.startedMs.isPresent() && other.startedMs.isPresent()
				&& this.startedMs.getAsLong() > other.startedMs.getAsLong();
	}

	/**
	 * Return whether this entry differs from an earlier entry with the same name. A
	 * decrease of the remaining cold start time is ignored because it occurs with every
	 * heartbeat of a cold upstream.
	 * @param previous the earlier entry
	 * @return true if anything else differs or if the upstream has become cold
	 */
	public boolean isChangedFrom(UpstreamEntry previous) {
		boolean becameCold = previous.coldMs == 0 && this.coldMs > 0;
		return becameCold || !withColdMs(0).equals(previous.withColdMs(0));
	}

	private UpstreamEntry withColdMs(long remainingMs) {
		return new UpstreamEntry(this.id, this.startedMs, this.service, this.softwareVersion, this.address,
				this.failureDomain, this.slots, this.draining, remainingMs);
	}

	/**
	 * Builder for {@link UpstreamEntry}. Not thread-safe.
	 */
	public static final class Builder {

		private final String id;

		private final String service;

		private OptionalLong startedMs = OptionalLong.empty();

		private String softwareVersion = "";

		private Address address = new Address("", 0);

		private String failureDomain = "";

		private int slots = 1;

		private boolean draining;

		private long coldMs;

		private Builder(String id, String service) {
			this.id = id;
			this.service = service;
		}

		/**
		 * Set the start time.
		 * @param newStartedMs start time in Unix milliseconds on the clock of the
		 * upstream; empty if not reported
		 * @return this builder
		 */
		public Builder startedMs(OptionalLong newStartedMs) {
			this.startedMs = newStartedMs;
			return this;
		}

		/**
		 * Set the version of the software.
		 * @param newVersion the version; empty if not reported
		 * @return this builder
		 */
		public Builder softwareVersion(String newVersion) {
			this.softwareVersion = newVersion;
			return this;
		}

		/**
		 * Set the address and failure domain.
		 * @param newAddress the listen address
		 * @param newDomain the failure domain
		 * @return this builder
		 */
		public Builder location(Address newAddress, String newDomain) {
			this.address = newAddress;
			this.failureDomain = newDomain;
			return this;
		}

		/**
		 * Set the maximum number of concurrent requests.
		 * @param newSlots the number of requests
		 * @return this builder
		 */
		public Builder slots(int newSlots) {
			this.slots = newSlots;
			return this;
		}

		/**
		 * Set whether the upstream is draining.
		 * @param newDraining whether the upstream has announced its shutdown
		 * @return this builder
		 */
		public Builder draining(boolean newDraining) {
			this.draining = newDraining;
			return this;
		}

		/**
		 * Set the remaining cold start time.
		 * @param remainingMs milliseconds; 0 if the upstream is warm
		 * @return this builder
		 */
		public Builder coldMs(long remainingMs) {
			this.coldMs = remainingMs;
			return this;
		}

		/**
		 * Build the entry.
		 * @return the entry
		 */
		public UpstreamEntry build() {
			return new UpstreamEntry(this.id, this.startedMs, this.service, this.softwareVersion, this.address,
					this.failureDomain, this.slots, this.draining, this.coldMs);
		}

	}

}
