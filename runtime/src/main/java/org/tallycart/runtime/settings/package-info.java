/**
 * Settings files and the sections shared by all processes.
 */
@NullMarked
package org.tallycart.runtime.settings;

import org.jspecify.annotations.NullMarked;
