package org.tallycart.core.limit;

import java.util.Optional;
import java.util.OptionalDouble;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Tests of the limits of upstreams that must not reject many requests. */
public class RejectionControlTests {

	private static final String UPSTREAM = "u";

	private final RejectionControl control = new RejectionControl();

	private OptionalDouble limit = OptionalDouble.empty();

	private void reject(long nowMs) {
		OptionalDouble lowered = this.control.onRejection(UPSTREAM, 2, this.limit, nowMs);
		if (lowered.isPresent()) {
			change(lowered, nowMs);
		}
	}

	private void serve(long nowMs) {
		this.limit.ifPresent((perSecond) -> this.control.onServed(UPSTREAM, perSecond, nowMs)
			.ifPresent((raised) -> change(raised, nowMs)));
	}

	private void change(OptionalDouble updated, long nowMs) {
		this.control.onChange(UPSTREAM, this.limit, updated, nowMs);
		this.limit = updated;
	}

	private void begin(double perSecond, long nowMs) {
		this.limit = OptionalDouble.empty();
		change(this.limit, nowMs);
		change(OptionalDouble.of(perSecond), nowMs);
	}

	@Test
	void theFirstRejectionLeavesNoMoreRequestsThanToleratedRejections() {
		change(OptionalDouble.empty(), 0);
		this.limit = OptionalDouble.empty();
		reject(0);
		assertEquals(this.limit, OptionalDouble.of(2));
	}

	@Test
	void oneExcessLowersTheLimitOnce() {
		begin(16, 0);
		reject(1_000);
		reject(1_000 + RejectionControl.SETTLE_MS - 1);
		assertEquals(this.limit, OptionalDouble.of(8));
		reject(1_000 + RejectionControl.SETTLE_MS);
		assertEquals(this.limit, OptionalDouble.of(4));
	}

	@Test
	void repliesRaiseTheLimitInSteps() {
		begin(4, 0);
		serve(RejectionControl.INCREASE_INTERVAL_MS - 1);
		assertEquals(this.limit, OptionalDouble.of(4));
		serve(RejectionControl.INCREASE_INTERVAL_MS);
		serve(RejectionControl.INCREASE_INTERVAL_MS + 1);
		assertEquals(this.limit, OptionalDouble.of(5));
	}

	@Test
	void theLimitOfTheLastRejectionIsNotReachedSoon() {
		begin(16, 0);
		reject(1_000);
		for (long now = 1_000; now < 1_000 + RejectionControl.CEILING_MS; now += 100) {
			serve(now);
		}
		assertEquals(this.limit, OptionalDouble.of(8 * 1.25 * 1.25));
		serve(1_000 + RejectionControl.CEILING_MS);
		assertEquals(this.limit, OptionalDouble.of(8 * 1.25 * 1.25 * 1.25));
	}

	@Test
	void aLimitThatIsNotNeededEnds() {
		begin(900, 0);
		assertEquals(this.control.onServed(UPSTREAM, 900, 1_000), Optional.of(OptionalDouble.empty()));
	}

}
