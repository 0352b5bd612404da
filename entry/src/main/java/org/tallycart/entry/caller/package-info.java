/**
 * The callers' interface over HTTP.
 */
@NullMarked
package org.tallycart.entry.caller;

import org.jspecify.annotations.NullMarked;
