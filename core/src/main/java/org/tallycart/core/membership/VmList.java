package org.tallycart.core.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.vavr.control.Either;
import org.tallycart.core.ini.Address;

/**
 * A version of the platform's list of VMs. The list may be stale, but a VM that is no
 * longer in it has been terminated by the platform.
 * <p>
 * Immutable and thread-safe.
 *
 * @param version version of the list
 * @param vms the VMs
 * @since 0.1
 */
public record VmList(long version, List<Vm> vms) {

	/** The list before the first version has been read. */
	public static final VmList EMPTY = new VmList(0, List.of());

	private static final int FIELD_COUNT = 5;

	/**
	 * Find a VM.
	 * @param id the id of the VM
	 * @return the VM, or empty if it is not in the list
	 */
	public Optional<Vm> find(String id) {
		return this.vms.stream().filter((vm) -> vm.id().equals(id)).findFirst();
	}

	/**
	 * Return the VMs with a given role.
	 * @param role the role
	 * @return the VMs
	 */
	public List<Vm> withRole(String role) {
		return this.vms.stream().filter((vm) -> vm.role().equals(role)).toList();
	}

	/**
	 * Encode the VMs as text, one per line.
	 * @return the text
	 */
	public String encode() {
		StringBuilder text = new StringBuilder();
		for (Vm vm : this.vms) {
			text.append(vm.id()).append(' ').append(vm.role()).append(' ').append(vm.domain()).append(' ');
			text.append(vm.address()).append(' ').append(vm.state()).append('\n');
		}
		return text.toString();
	}

	/**
	 * Decode a list written by {@link #encode()}.
	 * @param version the version of the list
	 * @param text the text
	 * @return the list, or an error message
	 */
	public static Either<String, VmList> decode(long version, String text) {
		List<Vm> vms = new ArrayList<>();
		for (String line : text.split("\n")) {
			if (line.isBlank()) {
				continue;
			}
			String[] fields = line.split(" ");
			if (fields.length != FIELD_COUNT) {
				return Either.left("VM list: a line has " + fields.length + " fields");
			}
			Either<String, Address> address = Address.parse(fields[3]);
			if (address.isLeft()) {
				return Either.left("VM list: the address field " + address.getLeft());
			}
			VmState state = fields[4].equals(VmState.LIVE.name()) ? VmState.LIVE : VmState.LEAVING;
			vms.add(new Vm(fields[0], fields[1], fields[2], address.get(), state));
		}
		return Either.right(new VmList(version, vms));
	}

}
