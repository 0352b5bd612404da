package org.tallycart.wire;

import java.util.function.LongSupplier;

import org.tallycart.core.time.HybridClock;
import org.tallycart.core.time.HybridTimestamp;
import org.tallycart.wire.message.Envelope;

/**
 * Who this process is to the others, and its hybrid clock.
 * <p>
 * Thread-safe.
 *
 * @param vm its VM
 * @param incarnation rises with each start on that VM
 * @param clock the process's hybrid clock
 * @param wallMs the wall clock
 * @since 0.1
 */
public record WireIdentity(String vm, long incarnation, HybridClock clock, LongSupplier wallMs) {

	Envelope stamp(Envelope.Builder envelope) {
		return envelope.setClock(this.clock.tick(this.wallMs.getAsLong()).packed())
			.setSenderVm(this.vm)
			.setSenderIncarnation(this.incarnation)
			.build();
	}

	void receive(Envelope envelope) {
		this.clock.receive(HybridTimestamp.ofPacked(envelope.getClock()), this.wallMs.getAsLong());
	}

}
