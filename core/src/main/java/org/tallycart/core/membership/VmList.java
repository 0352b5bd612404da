package org.tallycart.core.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.vavr.control.Either;
import org.tallycart.core.ini.Address;

/**
 * The platform's list of VMs, at one version. It lags; a VM that is no longer in it has
 * been ended by the platform.
 * <p>
 * Immutable and thread-safe.
 *
 * @param version the list's version
 * @param vms the VMs
 * @since 0.1
 */
public record VmList(long version, List<Vm> vms) {

	/** No list has been read yet. */
	public static final VmList EMPTY = new VmList(0, List.of());

	private static final int FIELDS = 5;

	/**
	 * Find a VM.
	 * @param id the VM
	 * @return the VM, or empty if it is not in the list
	 */
	public Optional<Vm> find(String id) {
		return this.vms.stream().filter((vm) -> vm.id().equals(id)).findFirst();
	}

	/**
	 * Return the VMs of one role.
	 * @param role the role
	 * @return the VMs
	 */
	public List<Vm> withRole(String role) {
		return this.vms.stream().filter((vm) -> vm.role().equals(role)).toList();
	}

	/**
	 * Write the VMs as text, one a line.
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
	 * Read a list written by {@link #encode()}.
	 * @param version its version
	 * @param text the text
	 * @return the list, or what is wrong with the text
	 */
	public static Either<String, VmList> decode(long version, String text) {
		List<Vm> vms = new ArrayList<>();
		for (String line : text.split("\n")) {
			if (line.isBlank()) {
				continue;
			}
			String[] fields = line.split(" ");
			if (fields.length != FIELDS) {
				return Either.left("VM list has a line of " + fields.length + " fields");
			}
			Either<String, Address> address = Address.parse(fields[3]);
			if (address.isLeft()) {
				return Either.left("VM list: " + address.getLeft());
			}
			VmState state = fields[4].equals(VmState.LIVE.name()) ? VmState.LIVE : VmState.LEAVING;
			vms.add(new Vm(fields[0], fields[1], fields[2], address.get(), state));
		}
		return Either.right(new VmList(version, vms));
	}

}
