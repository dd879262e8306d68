package org.magnoliabridge.evacuation;

import org.magnoliabridge.ids.DataCentre;

/** A change of the evacuations in force, in the order in which it was found. */
public sealed interface EvacuationChange {
    /** Returns the data centre. */
    DataCentre dc();

    /**
     * The evacuation of a data centre began.
     *
     * @param version version of its entry
     * @param unreadMs time since the read before, and so the longest time that the entry may have been unknown here, in
     *     milliseconds; 0 at the first read
     */
    record Began(DataCentre dc, long version, long unreadMs) implements EvacuationChange {}

    /**
     * The evacuation of a data centre ended.
     *
     * @param version version of the entry that was removed
     * @param lastedMs time since its begin was found, in milliseconds
     */
    record Ended(DataCentre dc, long version, long lastedMs) implements EvacuationChange {}
}
