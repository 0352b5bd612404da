/**
 * Load balancing over upstreams, retry budgets, division of deadlines over stages, and
 * stage queues.
 */
@NullMarked
package org.tallycart.core.routing;

import org.jspecify.annotations.NullMarked;
