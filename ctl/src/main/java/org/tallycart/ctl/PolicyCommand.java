package org.tallycart.ctl;

import picocli.CommandLine.Command;

/**
 * Parent of the commands on policies.
 * <p>
 * Not thread-safe.
 *
 * @since 0.1
 */
@Command(name = "policy", mixinStandardHelpOptions = true, description = "Commands on policies.",
		subcommands = PolicyTestCommand.class)
final class PolicyCommand implements Runnable {

	@Override
	public void run() {
		picocli.CommandLine.usage(this, System.out);
	}

}
