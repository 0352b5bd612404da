package org.tallycart.core.serving;

import java.util.OptionalLong;

import org.tallycart.core.ini.Address;

/**
 * One incarnation of an upstream, as the platform lists it.
 * <p>
 * An upstream may start again under the name that it had. So its name and its start
 * together tell one incarnation from another, where it tells its start.
 *
 * @param id its name
 * @param startedMs when it started, in Unix milliseconds on its own clock; empty where
 * upstreams do not tell it
 * @param service the service it provides
 * @param address where it listens; used again by others once it is gone
 * @param failureDomain where it runs
 * @param slots requests it works on at the same time
 * @param draining whether it has announced that it leaves
 * @param coldMs how much longer it stays cold after its start, in milliseconds, when the
 * entry was written; 0 if it is warm
 * @since 0.1
 */
public record UpstreamEntry(String id, OptionalLong startedMs, String service, Address address, String failureDomain,
		int slots, boolean draining, long coldMs) {

	/**
	 * Describe an upstream.
	 * @param id its name
	 * @param service the service it provides
	 * @return a builder for a warm upstream of one slot that is ready
	 */
	public static Builder builder(String id, String service) {
		return new Builder(id, service);
	}

	/**
	 * Return what names this incarnation and no other.
	 * @return a name
	 */
	public String incarnation() {
		return this.startedMs.isPresent() ? this.id + "@" + this.startedMs.getAsLong() : this.id;
	}

	/**
	 * Return whether this incarnation started after another one of the same name.
	 * @param other the other
	 * @return false also where either does not tell its start
	 */
	public boolean startedAfter(UpstreamEntry other) {
		return this.startedMs.isPresent() && other.startedMs.isPresent()
				&& this.startedMs.getAsLong() > other.startedMs.getAsLong();
	}

	/**
	 * Return whether this entry is news to one who knows another one of the same name. A
	 * cold upstream's entry changes with each of its heartbeats, as the time goes down.
	 * @param known the other
	 * @return true if more differs than how long it stays cold, or if it has turned cold
	 */
	public boolean isChangedFrom(UpstreamEntry known) {
		boolean turnedCold = known.coldMs == 0 && this.coldMs > 0;
		return turnedCold || !withColdMs(0).equals(known.withColdMs(0));
	}

	private UpstreamEntry withColdMs(long leftMs) {
		return new UpstreamEntry(this.id, this.startedMs, this.service, this.address, this.failureDomain, this.slots,
				this.draining, leftMs);
	}

	/**
	 * Builder for {@link UpstreamEntry}. Not thread-safe.
	 */
	public static final class Builder {

		private final String id;

		private final String service;

		private OptionalLong startedMs = OptionalLong.empty();

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
		 * Tell when it started.
		 * @param unixMs milliseconds of Unix time on its own clock; empty if it does not
		 * tell
		 * @return this builder
		 */
		public Builder startedMs(OptionalLong unixMs) {
			this.startedMs = unixMs;
			return this;
		}

		/**
		 * Tell where it is.
		 * @param listensAt where it listens
		 * @param domain the failure domain in which it runs
		 * @return this builder
		 */
		public Builder location(Address listensAt, String domain) {
			this.address = listensAt;
			this.failureDomain = domain;
			return this;
		}

		/**
		 * Tell how much it works on at the same time.
		 * @param requests how many requests
		 * @return this builder
		 */
		public Builder slots(int requests) {
			this.slots = requests;
			return this;
		}

		/**
		 * Tell whether it leaves.
		 * @param leaves whether it has announced that it leaves
		 * @return this builder
		 */
		public Builder draining(boolean leaves) {
			this.draining = leaves;
			return this;
		}

		/**
		 * Tell how much longer it stays cold.
		 * @param leftMs milliseconds; 0 if it is warm
		 * @return this builder
		 */
		public Builder coldMs(long leftMs) {
			this.coldMs = leftMs;
			return this;
		}

		/**
		 * Build the entry.
		 * @return the entry
		 */
		public UpstreamEntry build() {
			return new UpstreamEntry(this.id, this.startedMs, this.service, this.address, this.failureDomain,
					this.slots, this.draining, this.coldMs);
		}

	}

}
