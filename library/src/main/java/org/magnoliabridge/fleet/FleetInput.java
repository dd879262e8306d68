package org.magnoliabridge.fleet;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.magnoliabridge.ids.EndpointId;

/** What {@link FleetCore} is told. */
public sealed interface FleetInput {
    /**
     * A complete reading of the list.
     *
     * @param revision of the store at the reading
     */
    record Listed(long revision, List<Entry> entries) implements FleetInput {
        public Listed {
            entries = List.copyOf(entries);
        }
    }

    /** The changes since the last reading; none confirms that the list is current. */
    record Changed(long revision, List<Entry> entries) implements FleetInput {
        public Changed {
            entries = List.copyOf(entries);
        }
    }

    /** The store could not be asked. */
    record StoreUnreachable() implements FleetInput {}

    /** Time has passed. */
    record Tick() implements FleetInput {}

    /**
     * An entry of the list.
     *
     * @param endpoint empty if the entry was removed or names no endpoint to use
     */
    record Entry(EndpointId id, Optional<FleetEndpoint> endpoint) {
        public Entry {
            Objects.requireNonNull(id);
            Objects.requireNonNull(endpoint);
        }
    }
}
