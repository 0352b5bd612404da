/**
 * Selection of the upstream for a request, and the retry budget. Reads no clock and opens
 * no socket. Draining upstreams receive no new requests, and retries stay within the
 * budget of all VMs.
 */
@NullMarked
package org.tallycart.core.upstream;

import org.jspecify.annotations.NullMarked;
