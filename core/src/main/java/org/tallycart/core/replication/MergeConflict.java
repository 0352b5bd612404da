package org.tallycart.core.replication;

/**
 * A conflict: a declaration that two operators changed in different ways.
 *
 * @param section section name of the declaration
 * @param mine text of the author; empty if the author removed it
 * @param theirs text in the active configuration; empty if it was removed
 * @since 0.1
 */
public record MergeConflict(String section, String mine, String theirs) {
}
