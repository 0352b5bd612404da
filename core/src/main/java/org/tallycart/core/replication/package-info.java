/**
 * Versioned registers whose value never goes back, and the three-way merge of manifests.
 */
@NullMarked
package org.tallycart.core.replication;

import org.jspecify.annotations.NullMarked;
