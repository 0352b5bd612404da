/**
 * Detection and quarantine of requests that crash upstreams. Reads no clock and opens no
 * socket. Guarantee: no request is quarantined for crashes caused by another one; see
 * {@code CrashingRequestDetectorTests}.
 */
@NullMarked
package org.tallycart.core.crash;

import org.jspecify.annotations.NullMarked;
