/**
 * Test stand-ins for the systems around tallycart: the platform, model engines, worker
 * pools, plain services, and an unreliable network.
 */
@NullMarked
package org.tallycart.standin;

import org.jspecify.annotations.NullMarked;
