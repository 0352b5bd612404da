/**
 * The status port: health, readiness, metrics and events.
 */
@NullMarked
package org.tallycart.runtime.status;

import org.jspecify.annotations.NullMarked;
