package org.tallycart.node.peer;

import io.vavr.control.Either;
import org.tallycart.core.fleet.VmRecord;
import org.tallycart.core.ini.Address;
import org.tallycart.wire.message.VmIntroduction;

/**
 * Translates what VMs tell of themselves to and from messages between VMs.
 * <p>
 * Thread-safe: holds no state.
 */
final class Introductions {

	private Introductions() {
	}

	static VmIntroduction encode(VmRecord own) {
		return VmIntroduction.newBuilder()
			.setAddress(own.address().toString())
			.setFailureDomain(own.failureDomain())
			.setCapacity(own.capacity())
			.build();
	}

	static Either<String, VmRecord> decode(String vm, VmIntroduction told) {
		return Address.parse(told.getAddress())
			.map((address) -> new VmRecord(vm, address, told.getFailureDomain(), told.getCapacity()));
	}

}
