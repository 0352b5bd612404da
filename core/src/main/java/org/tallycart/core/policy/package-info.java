/**
 * The interface of operator policies and the built-in rules.
 */
@NullMarked
package org.tallycart.core.policy;

import org.jspecify.annotations.NullMarked;
