/**
 * Versioned registers whose version never decreases, the configuration manifest, and the
 * three-way merge of declarations.
 */
@NullMarked
package org.tallycart.core.replication;

import org.jspecify.annotations.NullMarked;
