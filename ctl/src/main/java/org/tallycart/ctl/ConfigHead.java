package org.tallycart.ctl;

import org.tallycart.core.replication.Manifest;

/**
 * The head of the configuration, as read from the platform's service.
 *
 * @param objectVersion the version of the stored object; 0 if there is none
 * @param manifest the manifest
 * @since 0.1
 */
record ConfigHead(long objectVersion, Manifest manifest) {
}
