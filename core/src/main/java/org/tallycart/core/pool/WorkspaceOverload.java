package org.tallycart.core.pool;

/**
 * What overload of a pool did to the requests of one workspace in an interval. A request
 * counts once for each of its stages, by the first piece of the stage.
 *
 * @param share the workspace's share of the requests started recently, 0 to 1
 * @param deferred requests that were deferred for the first time
 * @param shed requests rejected as excess late work
 * @param expired requests rejected since they could not meet their deadline
 * @param returned requests that returned after a rejection
 * @since 0.1
 */
public record WorkspaceOverload(double share, int deferred, int shed, int expired, int returned) {

	/**
	 * Return whether the workspace is affected by overload.
	 * @return true if any request was deferred, shed, expired or returned
	 */
	public boolean isAffected() {
		return this.deferred + this.shed + this.expired + this.returned > 0;
	}

}
