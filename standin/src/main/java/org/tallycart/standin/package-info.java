/**
 * Stand-ins for the systems that tallycart meets: platform, engines, pools, plain
 * services, and a faulty network.
 */
@NullMarked
package org.tallycart.standin;

import org.jspecify.annotations.NullMarked;
