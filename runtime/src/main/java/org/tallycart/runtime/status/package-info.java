/**
 * HTTP server of a process for health, readiness, metrics, events and status.
 */
@NullMarked
package org.tallycart.runtime.status;

import org.jspecify.annotations.NullMarked;
