/**
 * Numbered events: the log, the time line and their catalogue.
 */
@NullMarked
package org.tallycart.runtime.event;

import org.jspecify.annotations.NullMarked;
