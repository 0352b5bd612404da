package org.tallycart.core.replication;

/**
 * A declaration that two operators changed in different ways.
 *
 * @param section the declaration
 * @param mine the author's text; empty if the author removed it
 * @param theirs the text in force; empty if it was removed
 * @since 0.1
 */
public record MergeConflict(String section, String mine, String theirs) {
}
