package org.magnoliabridge.evacuation;

import java.util.List;
import java.util.Objects;
import org.magnoliabridge.ids.DataCentre;

/** An input of {@link EvacuationCore}. */
public sealed interface EvacuationInput {
    /**
     * A complete read of the entries; a data centre that it does not name is not evacuated.
     *
     * @param revision store revision of the read
     */
    record Listed(long revision, List<Entry> entries) implements EvacuationInput {
        public Listed {
            entries = List.copyOf(entries);
        }
    }

    /** The changes since the last read, in order; without entries it confirms that the known state is current. */
    record Changed(long revision, List<Entry> entries) implements EvacuationInput {
        public Changed {
            entries = List.copyOf(entries);
        }
    }

    /** A poll of the store failed. */
    record StoreUnreachable() implements EvacuationInput {}

    /** Time has passed. */
    record Tick() implements EvacuationInput {}

    /**
     * The entry of a data centre.
     *
     * @param requested whether its evacuation is requested; false if the entry was removed or is being removed
     * @param version version of the entry; 0 if it was removed
     */
    record Entry(DataCentre dc, boolean requested, long version) {
        public Entry {
            Objects.requireNonNull(dc);
        }
    }
}
