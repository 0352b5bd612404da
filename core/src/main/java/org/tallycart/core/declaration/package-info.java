/**
 * Declarations written by operators, and the checks made before they are accepted.
 */
@NullMarked
package org.tallycart.core.declaration;

import org.jspecify.annotations.NullMarked;
