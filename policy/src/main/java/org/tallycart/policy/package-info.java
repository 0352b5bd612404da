/**
 * Operator policies written in the Common Expression Language (CEL).
 */
@NullMarked
package org.tallycart.policy;

import org.jspecify.annotations.NullMarked;
