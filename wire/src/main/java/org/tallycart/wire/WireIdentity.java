package org.tallycart.wire;

import java.util.function.LongSupplier;

import org.tallycart.core.time.HybridClock;
import org.tallycart.core.time.HybridTimestamp;
import org.tallycart.wire.message.Envelope;

/**
 * Identity of this process in messages to other processes, and its hybrid clock. Stamps
 * messages sent, and advances the clock by messages received.
 * <p>
 * Thread-safe.
 *
 * @param vm the ID of the VM
 * @param incarnation the incarnation, which increases with each start on the VM
 * @param clock the hybrid clock of the process
 * @param wallMs the wall clock, in milliseconds since the epoch
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
