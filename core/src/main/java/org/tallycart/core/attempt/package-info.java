/**
 * The attempts of one request while its upstream is silent or slow.
 */
@NullMarked
package org.tallycart.core.attempt;

import org.jspecify.annotations.NullMarked;
