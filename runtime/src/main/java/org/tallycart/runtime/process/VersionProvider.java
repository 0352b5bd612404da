package org.tallycart.runtime.process;

import picocli.CommandLine.IVersionProvider;

/**
 * Tells the version that the jar was built as.
 * <p>
 * Thread-safe: holds no state.
 *
 * @since 0.1
 */
public final class VersionProvider implements IVersionProvider {

	@Override
	public String[] getVersion() {
		String version = VersionProvider.class.getPackage().getImplementationVersion();
		return new String[] { "tallycart " + ((version != null) ? version : "development build") };
	}

}
