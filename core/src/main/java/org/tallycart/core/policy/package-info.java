/**
 * Interface of operator policies, their inputs, and the built-in policy.
 */
@NullMarked
package org.tallycart.core.policy;

import org.jspecify.annotations.NullMarked;
