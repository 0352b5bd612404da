/**
 * Which upstream gets a request, and how often a request may be sent again. Reads no
 * clock and opens no socket. Promises kept: an upstream that is leaving receives no new
 * work; repeats stay within the budget of all VMs. Tests are in
 * {@code UpstreamDirectoryTests}, {@code EngineChooserTests} and
 * {@code RetryWindowTests}.
 */
@NullMarked
package org.tallycart.core.upstream;

import org.jspecify.annotations.NullMarked;
