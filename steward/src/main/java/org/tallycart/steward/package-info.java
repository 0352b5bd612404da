/**
 * The steward: membership, configuration, slot ownership and workspace limits of one VM.
 */
@NullMarked
package org.tallycart.steward;

import org.jspecify.annotations.NullMarked;
