/**
 * HTTP interface for callers: requests, responses and header fields.
 */
@NullMarked
package org.tallycart.entry.caller;

import org.jspecify.annotations.NullMarked;
