package org.tallycart.ctl;

import org.tallycart.core.replication.Manifest;

/**
 * The configuration's head as read from the platform's service.
 *
 * @param objectVersion version of the object that holds it; 0 if there is none
 * @param manifest the manifest
 * @since 0.1
 */
record ConfigHead(long objectVersion, Manifest manifest) {
}
