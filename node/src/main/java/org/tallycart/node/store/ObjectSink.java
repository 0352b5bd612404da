package org.tallycart.node.store;

import java.util.List;

import org.tallycart.platform.store.ObjectChange;
import org.tallycart.platform.store.StoredObject;

/**
 * Receives the objects of one kind, read from the store or relayed by another VM. Called
 * on the event loop.
 */
interface ObjectSink {

	/**
	 * Replace all objects.
	 * @param objects the complete list
	 */
	void onAll(List<StoredObject> objects);

	/**
	 * Apply changes.
	 * @param changes the changes in their order
	 */
	void onChanges(List<ObjectChange> changes);

	/**
	 * Return whether the local version of an object is newer than the stored one after a
	 * rollback of the store. A backup holds no higher revision of an object than the
	 * store has had before.
	 * @param local the version from before the rollback
	 * @param stored the version that the store holds now
	 * @return false if the stored version was written after the rollback, or may have
	 * been
	 */
	default boolean isNewer(StoredObject local, StoredObject stored) {
		return local.revision() > stored.revision();
	}

	/** Drop vanished objects whose time is over. Called several times a second. */
	default void expire() {
	}

	/**
	 * Return for how much longer vanished objects are retained, since they may reappear.
	 * @return milliseconds; 0 if removals take effect at once
	 */
	default long remainingGraceMs() {
		return 0;
	}

}
