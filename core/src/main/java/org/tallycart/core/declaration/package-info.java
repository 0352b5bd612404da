/**
 * The declarations that operators write, and the checks made before one is accepted.
 */
@NullMarked
package org.tallycart.core.declaration;

import org.jspecify.annotations.NullMarked;
