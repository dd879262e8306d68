package org.magnoliabridge.external;

import java.util.Objects;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.ServiceId;

/** The desired state of one endpoint. It is absolute, not a change, so repeating an order is harmless. */
public record EndpointOrder(EndpointId endpoint, DataCentre dc, ServiceId service, Kind kind, boolean running) {
    public EndpointOrder {
        Objects.requireNonNull(endpoint);
        Objects.requireNonNull(dc);
        Objects.requireNonNull(service);
        Objects.requireNonNull(kind);
    }

    /** Price class of an endpoint. */
    public enum Kind {
        /** Runs until it is stopped. */
        STANDARD("standard"),
        /** Cheaper; the platform may reclaim it on a few seconds' notice. */
        RECLAIMABLE("reclaimable");

        private final String wireName;

        Kind(String wireName) {
            this.wireName = wireName;
        }

        /** Returns the name of this kind in the order interface. */
        public String wireName() {
            return wireName;
        }

        /**
         * Returns the kind with the given name in the order interface.
         *
         * @throws IllegalArgumentException if there is no such kind
         */
        public static Kind of(String wireName) {
            for (Kind kind : values()) {
                if (kind.wireName.equals(wireName)) {
                    return kind;
                }
            }
            throw new IllegalArgumentException("unknown kind of endpoint: " + wireName);
        }
    }
}
