/**
 * Entry process: accepts callers' requests and runs them through their pipelines.
 */
@NullMarked
package org.tallycart.entry;

import org.jspecify.annotations.NullMarked;
