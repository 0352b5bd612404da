/**
 * Settings files and the parts of them that all processes share.
 */
@NullMarked
package org.tallycart.runtime.settings;

import org.jspecify.annotations.NullMarked;
