package org.tallycart.runtime.process;

import picocli.CommandLine.IVersionProvider;

/**
 * Provides the implementation version from the manifest of the jar.
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
