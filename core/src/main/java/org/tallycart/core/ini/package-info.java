/**
 * Parsing and validation of INI text, with all problems reported together.
 */
@NullMarked
package org.tallycart.core.ini;

import org.jspecify.annotations.NullMarked;
