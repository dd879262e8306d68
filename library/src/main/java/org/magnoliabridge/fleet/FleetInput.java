package org.magnoliabridge.fleet;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.magnoliabridge.ids.EndpointId;

/** An input of {@link FleetCore}. */
public sealed interface FleetInput {
    /**
     * A complete read of the list.
     *
     * @param revision store revision of the read
     */
    record Listed(long revision, List<Entry> entries) implements FleetInput {
        public Listed {
            entries = List.copyOf(entries);
        }
    }

    /** The changes since the last read; an empty list of entries confirms that the known list is current. */
    record Changed(long revision, List<Entry> entries) implements FleetInput {
        public Changed {
            entries = List.copyOf(entries);
        }
    }

    /** A poll of the store failed. */
    record StoreUnreachable() implements FleetInput {}

    /** Time has passed. */
    record Tick() implements FleetInput {}

    /**
     * An entry of the list.
     *
     * @param endpoint empty if the entry was removed or does not describe a usable endpoint
     */
    record Entry(EndpointId id, Optional<FleetEndpoint> endpoint) {
        public Entry {
            Objects.requireNonNull(id);
            Objects.requireNonNull(endpoint);
        }
    }
}
