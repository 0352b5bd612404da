/**
 * The links of this VM to the upstreams.
 */
@NullMarked
package org.tallycart.node.link;

import org.jspecify.annotations.NullMarked;
