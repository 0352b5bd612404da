/**
 * Checked reading of INI text, with every problem reported at once.
 */
@NullMarked
package org.tallycart.core.ini;

import org.jspecify.annotations.NullMarked;
